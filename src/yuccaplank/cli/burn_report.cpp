#include "yuccaplank/cli/burn_report.hpp"
#include "yuccaplank/cli/output.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace yuccaplank::cli {
namespace {

// Plot dimensions in pixels.
constexpr int LabelWidth = 220;
constexpr int BarAreaWidth = 520;
constexpr int RowHeight = 24;
constexpr int BarHeight = 16;
constexpr int PlotMargin = 30;
constexpr int ValueWidth = 60;

constexpr std::string_view HtmlHead =
    "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Burn report</title>\n"
    "<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}"
    "td,th{border:1px solid #999;padding:.3em .6em;text-align:right}"
    "td:first-child,th:first-child{text-align:left}.over{color:#b00020}</style></head><body>\n"
    "<h1>Burn report</h1>\n";

struct burn_row {
  std::string Queue;
  std::string Window;
  std::string Objective;
  std::string Good;
  std::string Total;
  std::string Attained;
  std::string BudgetLeft;
  double BurnRate = 0;
};

std::string formatWindow(std::uint32_t Seconds) {
  constexpr double MinuteS = 60;
  constexpr double HourS = 3600;
  return Seconds >= HourS ? fmt::format("{:g} h", Seconds / HourS)
                          : fmt::format("{:g} min", Seconds / MinuteS);
}

std::vector<burn_row> formatRows(const std::vector<burn_line> &Lines) {
  std::vector<burn_row> Rows;
  Rows.reserve(Lines.size());
  for (const burn_line &Line : Lines)
    Rows.push_back({Line.Queue, formatWindow(Line.WindowS), fmt::format("{:g}", Line.ObjectivePercent),
                    std::to_string(Line.Good), std::to_string(Line.Total),
                    fmt::format("{:.3f}", Line.AttainedPercent),
                    fmt::format("{:.1f}", Line.BudgetLeftPercent), Line.BurnRate});
  return Rows;
}

std::string formatMissingVms(const std::vector<std::string> &MissingVms) {
  return MissingVms.empty()
             ? ""
             : fmt::format("Not included, since they sent no report: {}", fmt::join(MissingVms, ", "));
}

// Computes the attained share, the burn rate and the remaining budget from the counts.
void computeBurnRate(burn_line &Line) {
  constexpr double Percent = 100;
  double AllowedPercent = Percent - Line.ObjectivePercent;
  if (Line.Total == 0 || AllowedPercent <= 0)
    return;
  Line.AttainedPercent = Percent * static_cast<double>(Line.Good) / static_cast<double>(Line.Total);
  Line.BurnRate = (Percent - Line.AttainedPercent) / AllowedPercent;
  Line.BudgetLeftPercent = Percent * (1 - Line.BurnRate);
}

std::string formatHtmlTable(const std::vector<burn_row> &Rows) {
  std::string Text = "<table><tr><th>Queue</th><th>Window</th><th>Objective %</th><th>Good</th>"
                     "<th>Total</th><th>Attained %</th><th>Burn rate</th><th>Budget left %</th></tr>\n";
  for (const burn_row &Row : Rows)
    Text += fmt::format("<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td>"
                        "<td{}>{:.2f}</td><td>{}</td></tr>\n",
                        escapeHtml(Row.Queue), escapeHtml(Row.Window), escapeHtml(Row.Objective),
                        escapeHtml(Row.Good), escapeHtml(Row.Total), escapeHtml(Row.Attained),
                        Row.BurnRate > 1 ? " class=\"over\"" : "", Row.BurnRate, escapeHtml(Row.BudgetLeft));
  return Text + "</table>\n";
}

// Draws one bar for each row. A vertical line marks burn rate 1, at which the error budget is used up
// exactly.
std::string formatSvgPlot(const std::vector<burn_row> &Rows) {
  double MaxBurnRate = 1;
  for (const burn_row &Row : Rows)
    MaxBurnRate = std::max(MaxBurnRate, Row.BurnRate);
  double Scale = BarAreaWidth / MaxBurnRate;
  int Height = static_cast<int>(Rows.size()) * RowHeight + PlotMargin;
  int Width = LabelWidth + BarAreaWidth + ValueWidth;
  std::string Text = fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" "
                                 "role=\"img\" aria-label=\"Burn rates\" font-size=\"13\">\n",
                                 Width, Height);
  for (std::size_t Index = 0; Index < Rows.size(); ++Index) {
    const burn_row &Row = Rows[Index];
    int Top = PlotMargin + static_cast<int>(Index) * RowHeight;
    double Length = std::max(Row.BurnRate, 0.0) * Scale;
    Text += fmt::format("<text x=\"{}\" y=\"{}\" text-anchor=\"end\">{}, {}</text>", LabelWidth - 8,
                        Top + BarHeight - 3, escapeHtml(Row.Queue), escapeHtml(Row.Window));
    Text += fmt::format("<rect x=\"{}\" y=\"{}\" width=\"{:.1f}\" height=\"{}\" fill=\"{}\"/>", LabelWidth,
                        Top, Length, BarHeight, Row.BurnRate > 1 ? "#b00020" : "#2e7d32");
    Text += fmt::format("<text x=\"{:.1f}\" y=\"{}\">{:.2f}</text>\n", LabelWidth + Length + 5,
                        Top + BarHeight - 3, Row.BurnRate);
  }
  double BudgetLineX = LabelWidth + Scale;
  Text +=
      fmt::format("<line x1=\"{0:.1f}\" y1=\"20\" x2=\"{0:.1f}\" y2=\"{1}\" stroke=\"#333\" "
                  "stroke-dasharray=\"4 3\"/><text x=\"{0:.1f}\" y=\"14\" text-anchor=\"middle\">1</text>\n",
                  BudgetLineX, Height);
  return Text + "</svg>\n";
}

} // namespace

std::vector<burn_line> mergeBurn(const std::vector<schema::burn_counts> &Counts) {
  std::map<std::pair<std::string, std::uint32_t>, burn_line> Lines;
  for (const schema::burn_counts &VmCounts : Counts)
    for (const schema::burn_queue &Queue : VmCounts.queues())
      for (const schema::burn_window &Window : Queue.windows()) {
        burn_line &Line = Lines[{Queue.queue(), Window.window_s()}];
        Line.Queue = Queue.queue();
        Line.WindowS = Window.window_s();
        if (Line.ObjectivePercent == 0)
          Line.ObjectivePercent = VmCounts.objective_percent();
        Line.Good += Window.good();
        Line.Total += Window.total();
      }
  std::vector<burn_line> Result;
  for (auto &[Key, Line] : Lines) {
    computeBurnRate(Line);
    Result.push_back(std::move(Line));
  }
  return Result;
}

std::string formatBurnTable(const std::vector<burn_line> &Lines, const std::vector<std::string> &MissingVms) {
  std::vector<std::vector<std::string>> Rows{
      {"QUEUE", "WINDOW", "OBJECTIVE %", "GOOD", "TOTAL", "ATTAINED %", "BURN RATE", "BUDGET LEFT %"}};
  for (const burn_row &Row : formatRows(Lines))
    Rows.push_back({Row.Queue, Row.Window, Row.Objective, Row.Good, Row.Total, Row.Attained,
                    fmt::format("{:.2f}", Row.BurnRate), Row.BudgetLeft});
  std::string Text = formatMissingVms(MissingVms);
  return formatTable(Rows) + (Text.empty() ? "" : Text + "\n");
}

std::string formatBurnHtml(const std::vector<burn_line> &Lines, const std::vector<std::string> &MissingVms) {
  std::vector<burn_row> Rows = formatRows(Lines);
  std::string Text = formatMissingVms(MissingVms);
  return fmt::format("{}{}{}{}</body></html>\n", HtmlHead, formatSvgPlot(Rows), formatHtmlTable(Rows),
                     Text.empty() ? "" : "<p>" + escapeHtml(Text) + "</p>\n");
}

std::string formatBurnJson(const std::vector<burn_line> &Lines) {
  nlohmann::ordered_json Rows = nlohmann::ordered_json::array();
  for (const burn_line &Line : Lines)
    Rows.push_back({{"queue", Line.Queue},
                    {"window_s", Line.WindowS},
                    {"objective_percent", Line.ObjectivePercent},
                    {"good", Line.Good},
                    {"total", Line.Total},
                    {"attained_percent", Line.AttainedPercent},
                    {"burn_rate", Line.BurnRate},
                    {"budget_left_percent", Line.BudgetLeftPercent}});
  return nlohmann::ordered_json{{"lines", std::move(Rows)}}.dump();
}

std::string escapeHtml(std::string_view Text) {
  std::string Escaped;
  for (char Character : Text) {
    switch (Character) {
    case '&':
      Escaped += "&amp;";
      break;
    case '<':
      Escaped += "&lt;";
      break;
    case '>':
      Escaped += "&gt;";
      break;
    case '"':
      Escaped += "&quot;";
      break;
    case '\'':
      Escaped += "&#39;";
      break;
    default:
      Escaped += Character;
    }
  }
  return Escaped;
}

} // namespace yuccaplank::cli
