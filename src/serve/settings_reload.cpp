#include "serve/settings_reload.hpp"

#include <algorithm>

#include <fmt/ranges.h>

#include "platform/settings.hpp"

namespace banyanshunt
{

namespace
{

constexpr const char* to_text(reload_result it)
{
    switch (it)
    {
    case reload_result::unchanged:
        return "unchanged";
    case reload_result::changed:
        return "changed";
    default:
        return "refused";
    }
}

} // namespace

reload_report compare_settings(const host_settings& in_force, const verdict<host_settings>& found)
{
    if (!found)
    {
        std::string reason = found.error().detail;
        std::replace(reason.begin(), reason.end(), '"', '\'');
        return {.result = reload_result::refused,
                .fields = {},
                .detail = reason + "; the settings in force stay"};
    }
    auto fields = platform::changed_settings(in_force, *found);
    if (fields.empty())
    {
        return {.result = reload_result::unchanged, .fields = {}, .detail = "settings unchanged"};
    }
    return {.result = reload_result::changed,
            .fields = std::move(fields),
            .detail = "they take effect at the next start"};
}

void check_settings_file(host_context& context, const std::string& path)
{
    auto report = compare_settings(context.settings, platform::read_settings(path));
    const char* result = to_text(report.result);
    context.stats.increment("banyanshunt_settings_reloads_total", {{"result", result}});
    context.log.write("reload", "result={} fields={} detail=\"{}\"", result,
                      report.fields.empty() ? "-"
                                            : fmt::format("{}", fmt::join(report.fields, ",")),
                      report.detail);
}

} // namespace banyanshunt
