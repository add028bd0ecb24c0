// skylarkshuntctl: the operators' command-line tool.

#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "skylarkshunt/ctl/run.h"

int main(int argc, char** argv) {
  const std::vector<std::string> args(argv + 1, argv + argc);
  std::random_device device;
  const skylarkshunt::CtlEnvironment environment{
      std::cout, std::cerr,
      [&device] { return (uint64_t{device()} << 32) | device(); }};
  return static_cast<int>(skylarkshunt::RunCtl(args, environment));
}
