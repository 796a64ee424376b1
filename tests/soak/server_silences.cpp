#include "soak/server_silences.hpp"

#include <chrono>
#include <map>
#include <random>
#include <thread>

#include <fmt/format.h>

namespace banyanshunt::soak
{

namespace
{

using namespace std::chrono_literals;

/// Silences come in groups, each of which lasts `max_silence_ms` at the most; the time between
/// groups keeps a request from spending its whole time budget on silences.
constexpr int min_silence_ms = 500;
constexpr int max_silence_ms = 2000;
constexpr int min_silence_interval_ms = 1200;
constexpr int max_silence_interval_ms = 2200;
constexpr int max_silences = 5;

} // namespace

void silence_servers(soak_fleet& fleet, std::uint64_t seed, const std::stop_token& stop,
                     const std::function<void(const std::string&)>& log)
{
    std::mt19937_64 random(seed);
    auto draw_ms = [&random](int from, int to)
    { return std::uniform_int_distribution<int>(from, to)(random); };
    auto wait = [&stop](int ms)
    {
        auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(ms);
        while (std::chrono::steady_clock::now() < until && !stop.stop_requested())
        {
            std::this_thread::sleep_for(10ms);
        }
    };
    while (!stop.stop_requested())
    {
        wait(draw_ms(min_silence_interval_ms, max_silence_interval_ms));
        std::multimap<int, std::size_t> begins;
        for (int left = draw_ms(1, max_silences); left > 0; --left)
        {
            begins.emplace(draw_ms(0, max_silence_ms - min_silence_ms),
                           random() % fleet.backends.size());
        }
        int at = begins.begin()->first;
        int end = at + max_silence_ms;
        for (auto [begin, n] : begins)
        {
            wait(begin - at);
            at = begin;
            int length = draw_ms(min_silence_ms, end - begin);
            if (!stop.stop_requested())
            {
                log(fmt::format("server {} is silent for {} ms", n, length));
                fleet.backends[n]->fall_silent(std::chrono::milliseconds(length));
            }
        }
        wait(end - at);
    }
}

} // namespace banyanshunt::soak
