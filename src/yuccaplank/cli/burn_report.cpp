#include "yuccaplank/cli/burn_report.hpp"
#include "yuccaplank/cli/operator_client.hpp"
#include "yuccaplank/cli/output.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace yuccaplank::cli {
namespace {

using nlohmann::ordered_json;

// Plot dimensions in pixels.
constexpr int LabelWidth = 220;
constexpr int BarAreaWidth = 520;
constexpr int RowHeight = 24;
constexpr int BarHeight = 16;
constexpr int PlotMargin = 30;
constexpr int ValueWidth = 60;

constexpr std::string_view PageHead =
    "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Burn report</title>\n"
    "<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}"
    "td,th{border:1px solid #999;padding:.3em .6em;text-align:right}"
    "td:first-child,th:first-child{text-align:left}.over{color:#b00020}</style></head><body>\n"
    "<h1>Burn report</h1>\n";

struct burn_row {
  std::string Service;
  std::string Window;
  std::string Objective;
  std::string Good;
  std::string Total;
  std::string Attained;
  std::string BudgetLeft;
  double BurnRate = 0;
};

double number(const ordered_json &Object, const char *Member) {
  auto Found = Object.find(Member);
  return Found != Object.end() && Found->is_number() ? Found->get<double>() : 0;
}

std::string formatWindow(double Seconds) {
  constexpr double MinuteS = 60;
  constexpr double HourS = 3600;
  return Seconds >= HourS ? fmt::format("{:g} h", Seconds / HourS)
                          : fmt::format("{:g} min", Seconds / MinuteS);
}

std::vector<burn_row> readRows(const ordered_json &Report) {
  std::vector<burn_row> Rows;
  for (const ordered_json &Line : arrayOf(Report, "lines"))
    Rows.push_back({cell(Line, "service"), formatWindow(number(Line, "window_s")),
                    fmt::format("{:g}", number(Line, "objective_percent")), cell(Line, "good"),
                    cell(Line, "total"), fmt::format("{:.3f}", number(Line, "attained_percent")),
                    fmt::format("{:.1f}", number(Line, "budget_left_percent")), number(Line, "burn_rate")});
  return Rows;
}

std::string silentText(const ordered_json &Report) {
  std::vector<std::string> Names;
  for (const ordered_json &Vm : arrayOf(Report, "silent"))
    if (Vm.is_string())
      Names.push_back(Vm.get<std::string>());
  return Names.empty() ? "" : fmt::format("Without the VMs that gave no answer: {}", fmt::join(Names, ", "));
}

std::string htmlTable(const std::vector<burn_row> &Rows) {
  std::string Text = "<table><tr><th>Service</th><th>Window</th><th>Objective %</th><th>Good</th>"
                     "<th>Total</th><th>Attained %</th><th>Burn rate</th><th>Budget left %</th></tr>\n";
  for (const burn_row &Row : Rows)
    Text += fmt::format("<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td>"
                        "<td{}>{:.2f}</td><td>{}</td></tr>\n",
                        escapeHtml(Row.Service), escapeHtml(Row.Window), escapeHtml(Row.Objective),
                        escapeHtml(Row.Good), escapeHtml(Row.Total), escapeHtml(Row.Attained),
                        Row.BurnRate > 1 ? " class=\"over\"" : "", Row.BurnRate, escapeHtml(Row.BudgetLeft));
  return Text + "</table>\n";
}

// One bar a line; a vertical rule marks burn rate 1, at which the budget is used up exactly.
std::string svgPlot(const std::vector<burn_row> &Rows) {
  double Greatest = 1;
  for (const burn_row &Row : Rows)
    Greatest = std::max(Greatest, Row.BurnRate);
  double Scale = BarAreaWidth / Greatest;
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
                        Top + BarHeight - 3, escapeHtml(Row.Service), escapeHtml(Row.Window));
    Text += fmt::format("<rect x=\"{}\" y=\"{}\" width=\"{:.1f}\" height=\"{}\" fill=\"{}\"/>", LabelWidth,
                        Top, Length, BarHeight, Row.BurnRate > 1 ? "#b00020" : "#2e7d32");
    Text += fmt::format("<text x=\"{:.1f}\" y=\"{}\">{:.2f}</text>\n", LabelWidth + Length + 5,
                        Top + BarHeight - 3, Row.BurnRate);
  }
  double One = LabelWidth + Scale;
  Text +=
      fmt::format("<line x1=\"{0:.1f}\" y1=\"20\" x2=\"{0:.1f}\" y2=\"{1}\" stroke=\"#333\" "
                  "stroke-dasharray=\"4 3\"/><text x=\"{0:.1f}\" y=\"14\" text-anchor=\"middle\">1</text>\n",
                  One, Height);
  return Text + "</svg>\n";
}

} // namespace

std::string formatBurnTable(const ordered_json &Report) {
  std::vector<std::vector<std::string>> Rows{
      {"SERVICE", "WINDOW", "OBJECTIVE %", "GOOD", "TOTAL", "ATTAINED %", "BURN RATE", "BUDGET LEFT %"}};
  for (const burn_row &Row : readRows(Report))
    Rows.push_back({Row.Service, Row.Window, Row.Objective, Row.Good, Row.Total, Row.Attained,
                    fmt::format("{:.2f}", Row.BurnRate), Row.BudgetLeft});
  std::string Silent = silentText(Report);
  return formatTable(Rows) + (Silent.empty() ? "" : Silent + "\n");
}

std::string formatBurnHtml(const ordered_json &Report) {
  std::vector<burn_row> Rows = readRows(Report);
  std::string Silent = silentText(Report);
  return fmt::format("{}{}{}{}</body></html>\n", PageHead, svgPlot(Rows), htmlTable(Rows),
                     Silent.empty() ? "" : "<p>" + escapeHtml(Silent) + "</p>\n");
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
