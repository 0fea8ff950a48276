// Reads the log of a case and checks rules on it, as clients and workers have seen them.
#pragma once

#include "common.hpp"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

struct run_interval {
  std::string Task, Worker;
  std::uint64_t Number = 0;
  double Begin = 0, End = 0;
  std::string How = "open";
};

struct record {
  std::vector<run_interval> Runs;
  std::vector<std::string> Over;
  std::vector<std::vector<std::string>> Lines; // words; the first is the time

  explicit record(const std::string &File) {
    std::ifstream Stream(File);
    std::vector<std::pair<double, std::string>> Sorted;
    for (std::string Line; std::getline(Stream, Line);)
      Sorted.emplace_back(std::stod(Line), Line);
    std::stable_sort(Sorted.begin(), Sorted.end(),
                     [](const auto &A, const auto &B) { return A.first < B.first; });
    std::map<std::string, std::size_t> Open; // task, run and worker
    for (const auto &[Time, Line] : Sorted) {
      std::istringstream Words(Line);
      std::vector<std::string> Word;
      for (std::string Next; Words >> Next;)
        Word.push_back(Next);
      Lines.push_back(Word);
      if (Word[1] == "start") {
        Open[Word[2] + "/" + Word[4] + "/" + Word[6]] = Runs.size();
        Runs.push_back({Word[2], Word[6], std::stoull(Word[4]), Time, 1e18, "open"});
      } else if (Word[1] == "end") {
        if (auto Found = Open.find(Word[2] + "/" + Word[4] + "/" + Word[6]); Found != Open.end()) {
          Runs[Found->second].End = Time;
          Runs[Found->second].How = Word[7];
          Open.erase(Found);
        }
      } else if (Word[1] == "killing") {
        for (auto Entry = Open.begin(); Entry != Open.end();) {
          if (Runs[Entry->second].Worker == Word[2]) {
            Runs[Entry->second].End = Time;
            Runs[Entry->second].How = "crash";
            Entry = Open.erase(Entry);
          } else {
            ++Entry;
          }
        }
      } else if (Word[1] == "over") {
        Over.push_back(Line);
      }
    }
  }

  // Pairs of runs of one task that were at work at the same time for more than SlackMs.
  std::vector<std::string> overlaps(double SlackMs) const {
    std::map<std::string, std::vector<const run_interval *>> ByTask;
    for (const run_interval &Run : Runs)
      ByTask[Run.Task].push_back(&Run);
    std::vector<std::string> Result;
    for (const auto &[Task, List] : ByTask)
      for (std::size_t First = 0; First < List.size(); ++First)
        for (std::size_t Second = First + 1; Second < List.size(); ++Second) {
          double Shared = std::min(List[First]->End, List[Second]->End) -
                          std::max(List[First]->Begin, List[Second]->Begin);
          if (Shared > SlackMs) {
            char Text[300];
            std::snprintf(Text, sizeof(Text),
                          "%s: run %llu at %s (%.0f to %.0f, %s) and run %llu at %s (%.0f to %.0f, %s), "
                          "together %.0f ms",
                          Task.c_str(), static_cast<unsigned long long>(List[First]->Number),
                          List[First]->Worker.c_str(), List[First]->Begin, List[First]->End,
                          List[First]->How.c_str(), static_cast<unsigned long long>(List[Second]->Number),
                          List[Second]->Worker.c_str(), List[Second]->Begin, List[Second]->End,
                          List[Second]->How.c_str(), Shared);
            Result.push_back(Text);
          }
        }
    return Result;
  }
};
