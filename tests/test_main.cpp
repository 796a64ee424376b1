#define CATCH_CONFIG_MAIN // NOLINT(readability-identifier-naming): Catch2's own name.
#include <catch2/catch.hpp>
