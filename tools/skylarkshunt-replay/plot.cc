#include "plot.h"

#include <plplot/plplot.h>

#include <algorithm>

namespace skylarkshunt {
namespace {

constexpr PLINT kBlack = 1;
constexpr PLINT kBlue = 2;
constexpr PLINT kRed = 3;

using Series = std::vector<PLFLT>;

void DrawAxes(size_t seconds, PLFLT highest, const char* label) {
  plcol0(kBlack);
  plenv(0, static_cast<PLFLT>(std::max<size_t>(1, seconds)), 0,
        std::max<PLFLT>(1, highest), 0, 0);
  pllab("time (s)", label, "");
}

void DrawLine(const Series& x, const Series& y, PLINT colour) {
  plcol0(colour);
  plline(static_cast<PLINT>(x.size()), x.data(), y.data());
}

PLFLT Highest(const Series& series) {
  return series.empty() ? 0 : *std::max_element(series.begin(), series.end());
}

}  // namespace

void WritePlot(const std::string& path,
               const std::vector<SecondFigures>& seconds) {
  Series x;
  Series p50;
  Series p99;
  Series completions;
  for (const SecondFigures& second : seconds) {
    x.push_back(static_cast<PLFLT>(x.size()) + 0.5);
    p50.push_back(second.waiting_p50_ms);
    p99.push_back(second.waiting_p99_ms);
    completions.push_back(second.completions);
  }
  plsdev("svg");
  plsfnam(path.c_str());
  plscol0(0, 255, 255, 255);
  plscol0(kBlack, 0, 0, 0);
  plscol0(kBlue, 0, 70, 180);
  plscol0(kRed, 200, 30, 30);
  plssub(1, 2);
  plinit();
  DrawAxes(x.size(), Highest(p99), "waiting (ms): p50 blue, p99 red");
  DrawLine(x, p50, kBlue);
  DrawLine(x, p99, kRed);
  DrawAxes(x.size(), Highest(completions), "completions per second");
  DrawLine(x, completions, kBlue);
  plend();
}

}  // namespace skylarkshunt
