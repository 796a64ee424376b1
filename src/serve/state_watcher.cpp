#include "serve/state_watcher.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "platform/manifest.hpp"
#include "platform/registry.hpp"
#include "serve/loop_runner.hpp"

namespace banyanshunt
{

namespace
{

/// How long a call waits for a change at most; hosts seldom call while nothing changes.
constexpr milliseconds topic_wait{2200};
/// How long the store may show records of the configuration that are older than the end that it
/// states, after its history was dropped. Source: the list of troubles that the platform's
/// operators inject, 3 s.
constexpr milliseconds max_item_staleness{3000};
/// Time within which lapsed entries of running servers are registered again.
constexpr milliseconds entry_recovery_time{2000};

/// Time between two reads of the registry while servers change, as a fraction of the age that it
/// may have when a request is sent; the rest is left for the next response, and for another call if
/// that is overdue.
constexpr double registry_gap_fraction = 0.6;
/// Age at which a host reads the registry itself although another reads for it, as a fraction of
/// the same: more than the age that the reader's view usually has when it arrives, 0.9 s of 1.76 s.
constexpr double shared_registry_fraction = 0.7;

/// How long a read of the configuration waits. A waiting read may miss a record that is appended
/// as it arrives, so its end must come before the record has to be in force; and an unresponsive
/// connection has to be found well before the configuration counts as stale.
milliseconds config_wait(const host_context& context)
{
    return std::min({topic_wait, context.ground.max_wait(topic_reader::usual_response_time),
                     context.max_config_age() / 2 - topic_reader::min_response_timeout});
}

milliseconds fraction_of(milliseconds max_age, double fraction)
{
    return std::chrono::duration_cast<milliseconds>(max_age * fraction);
}

} // namespace

state_watcher::state_watcher(host_context& context)
    : context_(context),
      config_(context,
              {.topic = platform::config_topic,
               .wait = config_wait(context),
               .max_shared_age = config_bounds().own_read,
               .max_age = context.max_config_age(),
               .gap_patience = max_item_staleness},
              {.snapshot = [this](const auto& records) { apply_operator_snapshot(records); },
               .record = [this](const auto& record) { return apply_operator_record(record); },
               .confirmed = [this](instant sent_at) { record_config_call(sent_at); },
               .failed = [this](instant sent_at) { context_.ground.record_failed(sent_at); }}),
      servers_(
          context,
          {.topic = platform::server_topic,
           .wait = topic_wait,
           .max_shared_age = fraction_of(context.max_server_list_age(), shared_registry_fraction),
           .max_age = context.max_server_list_age(),
           .gap = [&context]
           { return fraction_of(context.max_server_list_age(), registry_gap_fraction); }},
          {.snapshot = [this](const auto& records) { apply_server_snapshot(records); },
           .record = [this](const auto& record) { return apply_server(record, record.offset); },
           .recovered =
               [this]
           {
               defer_removals_until_ = context_.now() + entry_recovery_time;
               context_.log.write("server_removals_deferred", "for_ms={}",
                                  entry_recovery_time.count());
           },
           .confirmed = [this](instant sent_at) { record_list_call(sent_at, true); },
           .failed = [this](instant sent_at) { record_list_call(sent_at, false); }})
{
    context_.refresh_server_list = [this] { servers_.refresh(); };
    context_.refresh_config = [this] { spawn_once(context_, "config_read", config_.read_now()); };
    context_.reread_config = [this]
    { spawn_once(context_, "config_reread", config_.read_completely()); };
}

void state_watcher::start()
{
    spawn_loop(context_, "config", [this] { return run_config(); });
    spawn_loop(context_, "servers", [this] { return run_servers(); });
}

shared_view_bounds state_watcher::config_bounds() const
{
    return bound_shared_view(context_.settings.bounds.ticket_apply,
                             topic_reader::min_response_timeout);
}

void state_watcher::record_config_call(instant sent_at)
{
    context_.config_end = config_.position().value_or(log_offset(0));
    if (config_.source() == record_source::complete_read)
    {
        // What the store says of all keys counts more than what peers say.
        context_.ground.forget_reports();
    }
    if (context_.config && !context_.ground.record_response(context_.config_end, sent_at))
    {
        context_.stats.increment("banyanshunt_stale_responses_total",
                                 {{"topic", platform::config_topic}});
        context_.log.write_change("config_response_stale", "end={} age_ms={}",
                                  context_.config_end.count(),
                                  context_.config_age(context_.now()).count());
        context_.reread_config();
    }
    context_.waiting.wake(host_context::config_wait_key);
}

void state_watcher::record_list_call(instant sent_at, bool confirmed)
{
    if (confirmed)
    {
        context_.servers_known = true;
        context_.list_age.record_confirmed(sent_at);
    }
    else
    {
        context_.list_age.record_failed(sent_at);
    }
    context_.waiting.wake(host_context::server_list_wait_key);
}

bool state_watcher::log_refusal(const char* topic)
{
    context_.stats.increment("banyanshunt_records_refused_total", {{"topic", topic}});
    return refusals_.take(context_.now());
}

bool state_watcher::apply_operator_record(const platform::keyed_record& record)
{
    return std::string_view(record.key).starts_with(platform::evacuation_prefix)
               ? apply_evacuation(record)
               : apply_config(record);
}

void state_watcher::apply_operator_snapshot(const std::vector<platform::keyed_record>& records)
{
    auto ended = context_.servers.evacuated();
    for (const auto& record : records)
    {
        apply_operator_record(record);
        if (std::string_view(record.key).starts_with(platform::evacuation_prefix))
        {
            ended.erase(domain_id(record.key.substr(platform::evacuation_prefix.size())));
        }
    }
    for (const auto& domain : ended)
    {
        apply_evacuation({.key = std::string(platform::evacuation_prefix) + domain.str(),
                          .value = std::nullopt});
    }
}

bool state_watcher::apply_evacuation(const platform::keyed_record& record)
{
    domain_id domain(record.key.substr(platform::evacuation_prefix.size()));
    const auto& known = context_.settings.domains;
    if (!known.empty() && !known.contains(domain))
    {
        if (log_refusal(platform::config_topic))
        {
            context_.log.write("evacuation_refused",
                               "key=\"{}\" detail=\"the settings name no such failure domain\"",
                               record.key);
        }
        return false;
    }
    auto domains = context_.servers.evacuated();
    if (record.value)
    {
        domains.insert(domain);
    }
    else
    {
        domains.erase(domain);
    }
    if (!context_.servers.set_evacuated(std::move(domains)))
    {
        return false;
    }
    context_.log.write("evacuation", "domain={} state={}", domain.str(),
                       record.value ? "begun" : "ended");
    context_.stats.set("banyanshunt_evacuated_domains",
                       static_cast<double>(context_.servers.evacuated().size()));
    context_.waiting.wake_all();
    return true;
}

void state_watcher::apply_cold(const backend_entry& entry)
{
    auto& limits = context_.servers.limits();
    const auto* service = context_.config ? context_.config->find_service(entry.service) : nullptr;
    if (entry.warmup_left.count() <= 0 || !service || service->cold_requests_per_s <= 0)
    {
        if (limits.end_cold(entry.id))
        {
            context_.log.write("server_warm", "server={}", entry.id.str());
            context_.waiting.wake_all();
        }
        return;
    }
    const auto& bounds = context_.settings.bounds;
    double per_s = service->cold_requests_per_s;
    cold_limit limit{.start_time_ms = entry.start_time_ms,
                     .rate =
                         cold_permit_rate(per_s * bounds.cold_factor + bounds.cold_extra, per_s),
                     .until = context_.now() + entry.warmup_left};
    if (limits.set_cold(entry.id, limit))
    {
        context_.stats.increment("banyanshunt_cold_servers_total");
        context_.log.write("server_cold", "server={} left_ms={} permits_per_s={:.3f}",
                           entry.id.str(), entry.warmup_left.count(),
                           static_cast<double>(limit.rate.count()) / millirequests_per_request);
        context_.on_server_cold(entry.id);
    }
}

bool state_watcher::apply_config(const platform::keyed_record& record)
{
    if (record.key != platform::config_key || !record.value)
    {
        return false;
    }
    auto parsed = platform::parse_manifest(*record.value);
    if (!parsed)
    {
        if (log_refusal(platform::config_topic))
        {
            context_.log.write_change("config_refused", "detail=\"{}\"", parsed.error().detail);
        }
        return false;
    }
    if (context_.config && (*parsed)->version <= context_.config->version)
    {
        return false;
    }
    context_.config = *parsed;
    const char* source = to_text(config_.source());
    context_.stats.increment("banyanshunt_config_versions_total", {{"source", source}});
    context_.log.write_change("config_in_force",
                              "version={} source={} end={} since_confirmed_ms={} routes={} "
                              "workspaces={}",
                              context_.config->version, source,
                              config_.position().value_or(log_offset(-1)).count(),
                              context_.config_age(context_.now()).count(),
                              context_.config->routes.size(), context_.config->workspaces.size());
    for (const auto& [id, it] : context_.servers.servers())
    {
        apply_cold(it.entry);
    }
    context_.on_config_change();
    context_.waiting.wake_all();
    return true;
}

bool state_watcher::apply_server(const platform::keyed_record& record, log_offset offset)
{
    server_id id(record.key);
    if (!record.value)
    {
        return remove_server(id);
    }
    auto parsed = platform::parse_server_entry(id, *record.value);
    if (!parsed)
    {
        if (log_refusal(platform::server_topic))
        {
            context_.log.write("server_entry_refused", "server={} known={} detail=\"{}\"", id.str(),
                               context_.servers.find(id) != nullptr, parsed.error().detail);
        }
        return false;
    }
    bool removal_cancelled = deferred_removals_.erase(id) > 0;
    const auto* known = context_.servers.find(id);
    if (known && context_.config && !context_.config->find_service(parsed->service) &&
        context_.config->find_service(known->entry.service))
    {
        // Of another writer: it names no server to use, and the server's own entry holds.
        if (log_refusal(platform::server_topic))
        {
            context_.log.write("server_entry_refused",
                               "server={} known=true detail=\"no service has the name {}\"",
                               id.str(), parsed->service.str());
        }
        return removal_cancelled;
    }
    if (known && known->entry.sequence <= parsed->sequence)
    {
        // A running server announces itself repeatedly.
        auto refreshed = known->entry;
        refreshed.sequence = parsed->sequence;
        if (refreshed == *parsed && !known->removed)
        {
            context_.servers.confirm_newest(id, context_.now());
            // Hosts that take over what this one reads have deferred the removal as well.
            return removal_cancelled;
        }
    }
    bool restarted = known && known->entry.start_time_ms != parsed->start_time_ms;
    bool began_draining = parsed->draining && (!known || !known->entry.draining);
    endpoint_text old_address = known ? known->entry.address : parsed->address;
    if (!context_.servers.apply_entry(*parsed, context_.now(), offset))
    {
        return false;
    }
    apply_cold(*parsed);
    if (restarted || began_draining)
    {
        context_.pool.close_idle(old_address);
    }
    context_.log.write("server_entry",
                       "server={} service={} draining={} announcement={} models={} born={}",
                       id.str(), parsed->service.str(), parsed->draining, parsed->sequence,
                       parsed->models.size(), parsed->start_time_ms);
    context_.waiting.wake_all();
    return true;
}

void state_watcher::apply_server_snapshot(const std::vector<platform::keyed_record>& records)
{
    std::set<server_id> listed;
    context_.servers.forget_offsets();
    for (const auto& record : records)
    {
        apply_server(record, backend_table::complete_read_offset);
        listed.insert(server_id(record.key));
    }
    std::vector<server_id> missing;
    for (const auto& [id, it] : context_.servers.servers())
    {
        if (!listed.contains(id) && !it.removed)
        {
            missing.push_back(id);
        }
    }
    for (const auto& id : missing)
    {
        remove_server(id);
    }
}

bool state_watcher::remove_server(const server_id& server)
{
    const auto* known = context_.servers.find(server);
    if (!known || known->removed)
    {
        return false;
    }
    if (context_.now() < defer_removals_until_ && !known->entry.draining)
    {
        deferred_removals_[server] = ++next_deferral_;
        auto length = defer_removals_until_ - context_.now();
        context_.stats.increment("banyanshunt_server_removals_deferred_total");
        context_.log.write("server_removal_deferred", "server={} for_ms={}", server.str(),
                           std::chrono::ceil<milliseconds>(length).count());
        spawn_once(context_, "server_removal", remove_later(server, defer_removals_until_));
        return true;
    }
    drop_server(server);
    return true;
}

task<void> state_watcher::remove_later(server_id server, instant at)
{
    auto deferral = deferred_removals_[server];
    co_await pause(at - context_.now());
    auto it = deferred_removals_.find(server);
    if (it != deferred_removals_.end() && it->second == deferral)
    {
        deferred_removals_.erase(it);
        drop_server(server);
    }
}

void state_watcher::drop_server(const server_id& server)
{
    const auto* known = context_.servers.find(server);
    if (!known || known->removed)
    {
        return;
    }
    context_.log.write("server_gone", "server={}", server.str());
    context_.pool.close_idle(known->entry.address);
    context_.servers.remove(server);
    context_.waiting.wake_all();
}

} // namespace banyanshunt
