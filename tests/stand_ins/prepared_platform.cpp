#include "stand_ins/prepared_platform.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <string_view>
#include <thread>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace banyanshunt
{

namespace
{

using nlohmann::json;

constexpr const char* loopback = "127.0.0.1";
/// The Content-Length of a response whose body is never sent.
constexpr std::size_t lost_response_size = 10;
constexpr const char* refusal_body = "not run";
/// Short, because stopping a server waits for idle connections.
constexpr int keep_alive_s = 1;
/// Longer than a host waits for a response.
constexpr std::chrono::seconds lost_read_time{5};
constexpr std::chrono::milliseconds lost_response_time{1500};
/// Longer than a host's pause between two reads.
constexpr int store_keep_alive_s = 5;
/// How often a read that waits looks for records that it did not notice at once.
constexpr std::chrono::milliseconds notice_period{10};
/// Size of each of the two offsets at the start of a read response.
constexpr int offset_bytes = 8;
/// Most records, and about the most bytes of them, in one page of newest records.
constexpr std::size_t max_page_items = 500;
constexpr std::size_t max_page_bytes = 1000000;
/// A kept connection occupies a thread, also while the server is silent.
constexpr std::size_t backend_threads = 64;

/// When the request that this thread handles arrived.
thread_local std::chrono::steady_clock::time_point request_arrived_at;

void big_endian(std::string& to, std::uint64_t n, int bytes)
{
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
    {
        to += static_cast<char>((n >> shift) & 0xff);
    }
}

std::string base64(const std::string& from)
{
    static constexpr char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string to;
    for (std::size_t n = 0; n < from.size(); n += 3)
    {
        unsigned group = 0;
        for (std::size_t k = 0; k < 3; ++k)
        {
            group =
                group << 8 | (n + k < from.size() ? static_cast<unsigned char>(from[n + k]) : 0);
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            to += n + k > from.size() ? '=' : digits[group >> (18 - 6 * k) & 63];
        }
    }
    return to;
}

bool is_keyed(const std::string& topic)
{
    return topic.rfind("keyed.", 0) == 0;
}

/// Keyed topics have one partition; each partition of any other topic is a separate log.
std::string log_name(const httplib::Request& call)
{
    std::string topic = call.get_param_value("topic");
    return is_keyed(topic) ? topic : topic + "/" + call.get_param_value("part");
}

/// Returns once the server listens: one that is stopped before that goes on for good.
std::thread start_listening(httplib::Server& http)
{
    std::thread listener([&http] { http.listen_after_bind(); });
    while (!http.is_running())
    {
        std::this_thread::yield();
    }
    return listener;
}

std::string event(int n)
{
    return "id: " + std::to_string(n) + "\ndata: token" + std::to_string(n) + "\n\n";
}

} // namespace

std::string group_stand_in::join(const std::string& member, std::chrono::milliseconds ttl,
                                 std::int64_t generation)
{
    std::lock_guard lock(mutex_);
    auto now = std::chrono::steady_clock::now();
    bool changed = !members_.contains(member);
    members_[member] = now + ttl;
    changed =
        std::erase_if(members_, [&](const auto& it) { return it.second < now; }) > 0 || changed;
    if (changed)
    {
        ++generation_;
        assign_partitions();
    }
    json listed = json::array();
    for (auto& [partition, it] : assigned_)
    {
        if (it.holder == member && generation >= it.moved_in)
        {
            it.holder = it.next_holder;
        }
        if (it.holder == member && it.next_holder == member)
        {
            listed.push_back({"shunt-duties", partition, 0});
        }
    }
    return json{{"generation", generation_}, {"ttl_ms", ttl.count()}, {"parts", listed}}.dump();
}

void group_stand_in::leave(const std::string& member)
{
    std::lock_guard lock(mutex_);
    if (members_.erase(member) > 0)
    {
        ++generation_;
        assign_partitions();
    }
}

void group_stand_in::rebalance()
{
    std::lock_guard lock(mutex_);
    if (members_.empty())
    {
        return;
    }
    ++generation_;
    holders_before_.clear();
    // Each partition goes to the member after its holder.
    for (const auto& [partition, it] : assigned_)
    {
        holders_before_[partition] = it.holder;
        auto next = members_.upper_bound(it.holder);
        assign_at_once(partition, next == members_.end() ? members_.begin()->first : next->first);
    }
}

void group_stand_in::undo_rebalance()
{
    std::lock_guard lock(mutex_);
    ++generation_;
    for (const auto& [partition, holder] : holders_before_)
    {
        if (members_.contains(holder))
        {
            assign_at_once(partition, holder);
        }
    }
}

void group_stand_in::move(int partition, const std::string& member)
{
    std::lock_guard lock(mutex_);
    ++generation_;
    assign_at_once(partition, member);
}

std::vector<std::string> group_stand_in::members()
{
    std::lock_guard lock(mutex_);
    std::vector<std::string> names;
    for (const auto& [member, until] : members_)
    {
        names.push_back(member);
    }
    return names;
}

std::string group_stand_in::holder_of(int partition)
{
    std::lock_guard lock(mutex_);
    auto it = assigned_.find(partition);
    return it == assigned_.end() ? "" : it->second.holder;
}

void group_stand_in::assign_at_once(int partition, const std::string& member)
{
    assigned_[partition] = {.holder = member, .next_holder = member, .moved_in = generation_};
}

void group_stand_in::lapse()
{
    std::lock_guard lock(mutex_);
    ++generation_;
    members_.clear();
    assigned_.clear();
}

void group_stand_in::assign_partitions()
{
    // Members keep the partitions they hold, up to an even share.
    std::size_t max_share =
        members_.empty()
            ? 0
            : (static_cast<std::size_t>(partitions_) + members_.size() - 1) / members_.size();
    std::map<std::string, std::size_t> held;
    std::map<int, std::string> next;
    for (const auto& [partition, it] : assigned_)
    {
        if (members_.contains(it.next_holder) && ++held[it.next_holder] <= max_share)
        {
            next[partition] = it.next_holder;
        }
    }
    for (int partition = 0; partition < partitions_ && max_share > 0; ++partition)
    {
        for (const auto& [member, until] : members_)
        {
            if (!next.contains(partition) && held[member] < max_share)
            {
                next[partition] = member;
                ++held[member];
            }
        }
    }
    std::erase_if(assigned_, [&](const auto& it) { return !next.contains(it.first); });
    for (const auto& [partition, member] : next)
    {
        auto& it = assigned_[partition];
        if (!members_.contains(it.holder))
        {
            assign_at_once(partition, member);
        }
        else if (it.next_holder != member)
        {
            bool was_moving = it.holder != it.next_holder;
            it.next_holder = member;
            it.moved_in = was_moving ? it.moved_in : generation_;
        }
    }
}

struct store_stand_in::server
{
    httplib::Server http;
    std::thread thread;
};

store_stand_in::store_stand_in(int partitions)
    : group_(partitions), server_(std::make_unique<server>())
{
    auto& http = server_->http;
    http.set_keep_alive_timeout(store_keep_alive_s);
    http.new_task_queue = [] { return new httplib::ThreadPool(64); };
    http.set_pre_routing_handler(
        [this](const httplib::Request&, httplib::Response& response)
        {
            if (forced_status == 0)
            {
                return httplib::Server::HandlerResponse::Unhandled;
            }
            response.status = forced_status;
            return httplib::Server::HandlerResponse::Handled;
        });
    http.Get("/api/log-newest",
             [this](const httplib::Request& call, httplib::Response& response)
             {
                 response.set_content(
                     newest(call.get_param_value("topic"), call.get_param_value("after")),
                     "application/json");
             });
    // Carries out a call as the fault of its path and text says.
    auto carry_out_as = [this](const std::string& path, const std::string& text,
                               httplib::Response& response, const std::function<void()>& act)
    {
        auto fault = fault_of(path, text);
        std::this_thread::sleep_for(fault.carry_out_delay);
        if (fault.refused_with != 0)
        {
            response.status = fault.refused_with;
            return;
        }
        act();
        std::this_thread::sleep_for(fault.response_lost ? lost_response_time
                                                        : fault.response_delay);
    };
    auto carry_out = [carry_out_as](const httplib::Request& call, httplib::Response& response,
                                    const std::function<void()>& act)
    { carry_out_as(call.path, call.body, response, act); };
    http.Get("/api/log-read",
             [this, carry_out_as](const httplib::Request& call, httplib::Response& response)
             {
                 const auto topic = log_name(call);
                 auto act = [&]
                 {
                     auto body = read(topic, std::stoul(call.get_param_value("from")),
                                      std::stoul(call.get_param_value("max_kb")),
                                      std::stoi(call.get_param_value("wait_ms")));
                     response.status = body ? 200 : 410;
                     response.set_content(body.value_or(""), "application/octet-stream");
                 };
                 if (is_keyed(topic))
                 {
                     act();
                 }
                 else
                 {
                     carry_out_as(call.path, topic, response, act);
                 }
             });
    auto append = [this](const httplib::Request& call, httplib::Response& response)
    {
        std::string topic = log_name(call);
        std::string key;
        std::string value = call.body.substr(4);
        if (is_keyed(topic))
        {
            auto size = static_cast<unsigned char>(value[0]);
            key = value.substr(1, size);
            value = value.substr(1 + size);
        }
        std::unique_lock lock(mutex_);
        auto end = topics_[topic].size();
        if (call.has_param("at") && std::stoul(call.get_param_value("at")) != end)
        {
            response.status = 412;
            return;
        }
        topics_[topic].push_back({.key = key, .value = value});
        ++end;
        lock.unlock();
        records_added_.notify_all();
        response.set_content(json{{"offset", end - 1}, {"end", end}}.dump(), "application/json");
    };
    http.Post("/api/log-append",
              [carry_out, append](const httplib::Request& call, httplib::Response& response)
              { carry_out(call, response, [&] { append(call, response); }); });
    http.Post("/api/log-join",
              [this, carry_out](const httplib::Request& call, httplib::Response& response)
              {
                  auto body = json::parse(call.body);
                  carry_out(call, response,
                            [&]
                            {
                                response.set_content(
                                    group_.join(body.at("member").get<std::string>(),
                                                std::chrono::milliseconds(body.at("ttl_ms")),
                                                body.value("generation", std::int64_t{0})),
                                    "application/json");
                            });
              });
    http.Post("/api/log-leave",
              [this, carry_out](const httplib::Request& call, httplib::Response& response)
              {
                  ++leave_calls;
                  std::this_thread::sleep_for(std::chrono::milliseconds(leave_delay_ms));
                  carry_out(call, response,
                            [&]
                            {
                                group_.leave(
                                    json::parse(call.body).at("member").get<std::string>());
                                response.set_content("{}", "application/json");
                            });
              });
    port_ = http.bind_to_any_port(loopback);
    server_->thread = start_listening(http);
}

store_stand_in::~store_stand_in()
{
    {
        std::lock_guard lock(mutex_);
        closing_ = true;
    }
    records_added_.notify_all();
    server_->http.stop();
    server_->thread.join();
}

void store_stand_in::put(const std::string& topic, const std::string& key, const std::string& value)
{
    {
        std::lock_guard lock(mutex_);
        topics_[topic].push_back(
            {.key = key, .value = value, .unnoticed = std::chrono::milliseconds(unnoticed_ms)});
    }
    records_added_.notify_all();
}

void store_stand_in::put_unnoticed(const std::string& topic, const std::string& key,
                                   const std::string& value, missed_read_end end)
{
    {
        std::lock_guard lock(mutex_);
        int missed_by = reads_[topic];
        topics_[topic].push_back({.key = key, .value = value, .missed_by = missed_by});
        if (end == missed_read_end::lost)
        {
            lost_reads_.emplace(topic, missed_by);
        }
    }
    records_added_.notify_all();
}

void store_stand_in::set_call_faults(fault_source faults)
{
    std::lock_guard lock(fault_mutex_);
    call_faults_ = std::move(faults);
}

call_fault store_stand_in::fault_of(const std::string& path, const std::string& body)
{
    std::lock_guard lock(fault_mutex_);
    return call_faults_ ? call_faults_(path, body) : call_fault{};
}

void store_stand_in::expire(const std::string& topic, std::size_t before)
{
    std::lock_guard lock(mutex_);
    first_retained_[topic] = before;
}

void store_stand_in::drop_history()
{
    std::lock_guard lock(mutex_);
    for (const auto& [topic, entries] : topics_)
    {
        first_retained_[topic] = entries.size();
    }
}

void store_stand_in::begin_anew(const std::string& topic)
{
    std::lock_guard lock(mutex_);
    auto is_part = [&](const auto& it) { return it.first.starts_with(topic + "/"); };
    std::erase_if(topics_, is_part);
    std::erase_if(first_retained_, is_part);
}

void store_stand_in::return_older(std::chrono::milliseconds age)
{
    {
        std::lock_guard lock(mutex_);
        returned_older_ = true;
        for (auto& [topic, entries] : topics_)
        {
            auto end = static_cast<std::ptrdiff_t>(
                first_after(entries, std::chrono::steady_clock::now() - age));
            std::vector<entry> lost(entries.begin() + end, entries.end());
            entries.erase(entries.begin() + end, entries.end());
            auto& first = first_retained_[topic];
            first = std::min(first, entries.size());
            if (topic == "keyed.op" || topic == "keyed.servers")
            {
                std::map<std::string, std::string> newest;
                for (const auto& it : lost)
                {
                    newest[it.key] = it.value;
                }
                for (const auto& [key, value] : newest)
                {
                    entries.push_back({.key = key, .value = value});
                }
            }
        }
    }
    records_added_.notify_all();
}

std::size_t store_stand_in::first_after(const std::vector<entry>& entries,
                                        std::chrono::steady_clock::time_point at)
{
    auto it = std::partition_point(entries.begin(), entries.end(),
                                   [&](const entry& record) { return record.at <= at; });
    return static_cast<std::size_t>(it - entries.begin());
}

std::vector<std::string> store_stand_in::values(const std::string& topic) const
{
    std::lock_guard lock(mutex_);
    std::vector<std::string> values;
    auto it = topics_.find(topic);
    if (it != topics_.end())
    {
        std::transform(it->second.begin(), it->second.end(), std::back_inserter(values),
                       [](const entry& record) { return record.value; });
    }
    return values;
}

int store_stand_in::reads(const std::string& topic) const
{
    std::lock_guard lock(mutex_);
    auto it = reads_.find(topic);
    return it == reads_.end() ? 0 : it->second;
}

int store_stand_in::newest_calls(const std::string& topic) const
{
    std::lock_guard lock(mutex_);
    auto it = newest_calls_.find(topic);
    return it == newest_calls_.end() ? 0 : it->second;
}

std::string store_stand_in::newest(const std::string& topic, const std::string& after)
{
    std::lock_guard lock(mutex_);
    ++newest_calls_[topic];
    std::map<std::string, std::size_t> by_key;
    const auto& entries = topics_[topic];
    auto known = first_after(entries, std::chrono::steady_clock::now() -
                                          std::chrono::milliseconds(stale_items_ms));
    for (std::size_t n = 0; n < known; ++n)
    {
        by_key[entries[n].key] = n;
    }
    json items = json::array();
    std::size_t bytes = 0;
    auto it = after.empty() ? by_key.begin() : by_key.upper_bound(after);
    for (; it != by_key.end() && items.size() < max_page_items && bytes < max_page_bytes; ++it)
    {
        const auto& value = entries[it->second].value;
        if (!value.empty())
        {
            items.push_back({{"key", it->first}, {"value", base64(value)}, {"offset", it->second}});
            bytes += value.size();
        }
    }
    return json{{"items", items}, {"has_more", it != by_key.end()}, {"end", entries.size()}}.dump(
        -1, ' ', false, json::error_handler_t::replace);
}

std::optional<std::string> store_stand_in::read(const std::string& topic, std::size_t from,
                                                std::size_t max_kb, int wait_ms)
{
    std::unique_lock lock(mutex_);
    int number = ++reads_[topic];
    auto& entries = topics_[topic];
    const auto arrived_at = std::chrono::steady_clock::now();
    const auto until = arrived_at + std::chrono::milliseconds(wait_ms);
    auto has_noticed = [&]
    {
        auto first = entries.begin() + static_cast<std::ptrdiff_t>(std::min(from, entries.size()));
        auto now = std::chrono::steady_clock::now();
        return closing_ ||
               std::any_of(first, entries.end(),
                           [&](const auto& it)
                           {
                               return it.missed_by != number && (it.appended_at() <= arrived_at ||
                                                                 it.at + it.unnoticed <= now);
                           });
    };
    while (!has_noticed() && std::chrono::steady_clock::now() < until)
    {
        // What was not noticed when it was appended wakes nobody later.
        bool polls = unnoticed_ms > 0;
        records_added_.wait_until(
            lock,
            polls ? std::min(until, std::chrono::steady_clock::now() + notice_period) : until);
    }
    if (std::chrono::steady_clock::now() >= until && wait_ms > 0)
    {
        auto responds_at = until + std::chrono::milliseconds(wait_delay_ms);
        records_added_.wait_until(lock, responds_at, [&] { return closing_; });
    }
    if (lost_reads_.contains({topic, number}))
    {
        records_added_.wait_for(lock, lost_read_time, [&] { return closing_; });
    }
    auto now = std::chrono::steady_clock::now();
    auto& first = first_retained_[topic];
    if (keep_ms > 0)
    {
        first = std::max(first, first_after(entries, now - std::chrono::milliseconds(keep_ms)));
    }
    if (from < first || (returned_older_ && from > entries.size()))
    {
        return std::nullopt;
    }
    std::size_t end = entries.size();
    if (stale_ms > 0)
    {
        end = std::max(from, first_after(entries, now - std::chrono::milliseconds(stale_ms)));
    }
    std::string body;
    big_endian(body, end, offset_bytes);
    big_endian(body, std::min(first, end), offset_bytes);
    for (std::size_t n = from; n < end && body.size() < max_kb * 1024; ++n)
    {
        const auto& it = entries[n];
        std::string content = it.value;
        if (is_keyed(topic))
        {
            content = static_cast<char>(it.key.size()) + it.key + it.value;
        }
        big_endian(body, content.size(), 4);
        body += content;
    }
    // The last record may be cut, as a response ends where it holds all the bytes asked for.
    body.resize(std::min(body.size(), std::max<std::size_t>(max_kb * 1024, 2UL * offset_bytes)));
    return body;
}

struct backend_stand_in::server
{
    httplib::Server http;
    std::thread thread;
};

backend_stand_in::backend_stand_in(std::string id, const std::set<std::string>& models)
    : id_(std::move(id)),
      order_random_(static_cast<std::mt19937::result_type>(std::hash<std::string>()(id_))),
      server_(std::make_unique<server>())
{
    for (const auto& model : models)
    {
        models_[model] = {};
    }
    auto& http = server_->http;
    http.set_keep_alive_timeout(keep_alive_s);
    http.new_task_queue = [] { return new httplib::ThreadPool(backend_threads); };
    http.set_pre_routing_handler(
        [this](const httplib::Request&, httplib::Response& response)
        {
            request_arrived_at = std::chrono::steady_clock::now();
            {
                std::lock_guard lock(mutex_);
                arrivals_.push_back(request_arrived_at);
            }
            if (stated_limit >= 0)
            {
                response.set_header("Server-Limit", std::to_string(stated_limit));
            }
            await_silence_end();
            return httplib::Server::HandlerResponse::Unhandled;
        });
    http.set_post_routing_handler(
        [this](const httplib::Request& call, httplib::Response& response)
        {
            bool states_notices = call.path.rfind(notice_path.load(), 0) == 0;
            const char* leaving = states_notices ? stated_leaving.load() : nullptr;
            const char* retry_after =
                states_notices && response.status == 503 ? stated_retry_after.load() : nullptr;
            given_response given{.id = call.get_header_value("X-Request-Id"),
                                 .at = std::chrono::steady_clock::now(),
                                 .arrived_at = request_arrived_at,
                                 .start_time_ms = start_time_ms,
                                 .status = response.status,
                                 .leaving = leaving && std::string_view(leaving) == "1"};
            if (leaving)
            {
                response.set_header("Server-Leaving", leaving);
                ++leaving_responses_;
            }
            if (retry_after)
            {
                response.set_header("Retry-After", retry_after);
                given.pause = std::chrono::milliseconds(
                    std::lround(1000 * std::strtod(retry_after, nullptr)));
            }
            std::lock_guard lock(mutex_);
            responses_.push_back(std::move(given));
        });
    http.Get("/api/report",
             [this](const httplib::Request&, httplib::Response& response)
             {
                 std::lock_guard lock(mutex_);
                 response.set_content(json{{"stage", "hybrid"},
                                           {"models", held_models()},
                                           {"busy", false},
                                           {"sequence", orders_.load()}}
                                          .dump(),
                                      "application/json");
             });
    http.Post("/api/order", [this](const httplib::Request& call, httplib::Response& response)
              { response.status = receive_order(call.body, request_arrived_at); });
    auto serve = [this](const httplib::Request& call, httplib::Response& response)
    {
        std::string model = call.get_header_value("X-Model");
        fault now = active_fault;
        response.set_header("X-Request-Id", call.get_header_value("X-Request-Id"));
        {
            std::lock_guard lock(mutex_);
            if (call.get_header_value("X-Expect-Instance") != id_ ||
                (!model.empty() && !holds(model)))
            {
                response.status = 421;
                return;
            }
            if (now == fault::full || refuses(call))
            {
                response.status = 503;
                response.set_header("X-Not-Executed", "1");
                if (copied_refusal != copied_id::no_copy)
                {
                    send_with_copy(call, response, refusal_body, copied_refusal,
                                   std::chrono::milliseconds(copy_delay_ms));
                }
                return;
            }
            served_.push_back({.id = call.get_header_value("X-Request-Id"),
                               .path = call.path,
                               .body = call.body,
                               .workspace = call.get_header_value("X-Tenant"),
                               .last_event_id = call.get_header_value("Last-Event-Id"),
                               .has_key = call.has_header("Authorization"),
                               .at = request_arrived_at});
        }
        if (now == fault::own_error)
        {
            response.headers.erase("X-Request-Id");
            response.status = 500;
            return;
        }
        response.set_header("X-Server-Stamp", id_);
        if (now == fault::lose_response)
        {
            response.set_content_provider(lost_response_size, "text/plain",
                                          [](std::size_t, std::size_t, httplib::DataSink&)
                                          { return false; });
            return;
        }
        if (model.empty())
        {
            bool is_slow = call.path.starts_with("/read/slow");
            std::this_thread::sleep_for(std::chrono::milliseconds(is_slow ? slow_run_ms : run_ms));
            await_silence_end();
            if (body_bytes > 0)
            {
                response.set_content_provider(
                    static_cast<std::size_t>(body_bytes), "text/plain",
                    [this](std::size_t, std::size_t left, httplib::DataSink& sink)
                    {
                        await_silence_end();
                        std::this_thread::sleep_for(std::chrono::milliseconds(piece_pause_ms));
                        await_silence_end();
                        constexpr std::size_t piece_bytes = 4096;
                        std::string piece(std::min(left, piece_bytes), 'x');
                        return sink.write(piece.data(), piece.size());
                    });
                return;
            }
            auto body = "answer by " + id_ + " to " + call.get_header_value("X-Request-Id");
            response.status = 200;
            if (copied_answer != copied_id::no_copy)
            {
                send_with_copy(call, response, body, copied_answer,
                               std::chrono::milliseconds(copy_delay_ms));
                return;
            }
            response.set_content(body, "text/plain");
            return;
        }
        std::string last = call.get_header_value("Last-Event-Id");
        if (!last.empty() && resume_without_events(resumption, response))
        {
            return;
        }
        auto next = std::make_shared<int>(
            last.empty() ? 1 : first_resumed_event(resumption, std::stoi(last) + 1));
        if (last.empty() && streams_to_break.fetch_sub(1) > 0)
        {
            now = fault::break_stream;
        }
        response.set_chunked_content_provider("text/event-stream",
                                              [this, next, now, events = events_in_stream.load(),
                                               pause = std::chrono::milliseconds(event_pause_ms)](
                                                  std::size_t, httplib::DataSink& sink)
                                              {
                                                  if (now == fault::break_stream && *next == 3)
                                                  {
                                                      std::string partial = event(3).substr(0, 5);
                                                      sink.write(partial.data(), partial.size());
                                                      return false;
                                                  }
                                                  await_silence_end();
                                                  if (*next > events)
                                                  {
                                                      sink.done();
                                                      return true;
                                                  }
                                                  std::this_thread::sleep_for(pause);
                                                  await_silence_end();
                                                  std::string text = event((*next)++);
                                                  return sink.write(text.data(), text.size());
                                              });
    };
    http.Get(".*", serve);
    http.Post(".*", serve);
    port_ = http.bind_to_any_port(loopback);
    server_->thread = start_listening(http);
}

int backend_stand_in::receive_order(const std::string& body,
                                    std::chrono::steady_clock::time_point arrived_at)
{
    auto order = json::parse(body);
    std::unique_lock lock(mutex_);
    const auto delay = draw_order_delay();
    const std::size_t n = received_orders_.size();
    received_orders_.push_back({.at = arrived_at,
                                .holder = order.value("holder", ""),
                                .fence = order.value("fencing_token", std::int64_t{0}),
                                .is_late = delay.count() > 0});
    stopping_.wait_for(lock, delay, [this] { return stopped_; });
    if (stopped_)
    {
        return 503;
    }
    auto& received = received_orders_[n];
    received.carried_out_at = std::max(arrived_at, std::chrono::steady_clock::now());
    received.status = refuses_orders ? 503 : carry_out(body);
    return received.status;
}

std::chrono::milliseconds backend_stand_in::draw_order_delay()
{
    auto draw = [&](int min, int max)
    { return std::uniform_int_distribution<int>(min, std::max(min, max))(order_random_); };
    bool late = draw(0, 99) < late_order_percent;
    return std::chrono::milliseconds(late ? draw(min_order_delay_ms, max_order_delay_ms) : 0);
}

int backend_stand_in::carry_out(const std::string& body)
{
    auto order = json::parse(body);
    if (order.at("expected").get<int>() != orders_.load())
    {
        return 409;
    }
    if (!order.contains("fencing_token") || !order.contains("holder"))
    {
        return 400;
    }
    auto model = order.at("model").get<std::string>();
    auto adapter = order.value("adapter", "");
    bool loads = order.at("operation") == "load";
    if (adapter.empty())
    {
        loads ? (void)models_.try_emplace(model) : (void)models_.erase(model);
    }
    else if (models_.contains(model))
    {
        loads ? (void)models_[model].insert(adapter) : (void)models_[model].erase(adapter);
    }
    if (models_.size() > max_models)
    {
        order_errors_.push_back(model + " was loaded beyond the maximum number of models");
    }
    ++orders_;
    return 202;
}

bool backend_stand_in::holds(const std::string& target) const
{
    auto slash = target.find('/');
    auto it = models_.find(target.substr(0, slash));
    return it != models_.end() &&
           (slash == std::string::npos || it->second.contains(target.substr(slash + 1)));
}

nlohmann::json backend_stand_in::held_models() const
{
    json held = json::array();
    for (const auto& [model, adapters] : models_)
    {
        held.push_back({{"name", model}, {"version", 1}, {"adapters", adapters}});
    }
    return held;
}

bool backend_stand_in::refuses(const httplib::Request& call)
{
    bool resumes = call.has_header("Last-Event-Id");
    return (refuses_every_second && ++refusable_ % 2 == 1) ||
           (resumes && resumption == odd_resumption::refused_first &&
            resumed_.insert(call.get_header_value("X-Request-Id")).second);
}

void backend_stand_in::fall_silent(std::chrono::milliseconds length)
{
    silent_until_ = std::chrono::steady_clock::now() + length;
}

void backend_stand_in::await_silence_end() const
{
    while (std::chrono::steady_clock::now() < silent_until_.load())
    {
        std::this_thread::sleep_until(silent_until_.load());
    }
}

backend_stand_in::~backend_stand_in()
{
    {
        std::lock_guard lock(mutex_);
        stopped_ = true;
    }
    stopping_.notify_all();
    server_->http.stop();
    server_->thread.join();
}

std::string backend_stand_in::registry_entry(const std::string& service, bool draining) const
{
    std::lock_guard lock(mutex_);
    return json{{"service", service},
                {"address", announced_address.empty()
                                ? std::string(loopback) + ":" + std::to_string(port_)
                                : announced_address},
                {"zone", "north"},
                {"version", "v1"},
                {"slots", 4},
                {"state", draining ? "draining" : "ready"},
                {"cold_remaining_ms", 0},
                {"born", start_time_ms.load()},
                {"models", held_models()},
                {"sequence", draining ? 2 : 1},
                {"at_hand", {{"in_memory", {"rare"}}, {"on_disk", {"rare"}}}}}
        .dump();
}

std::vector<received_order> backend_stand_in::received_orders() const
{
    std::lock_guard lock(mutex_);
    return received_orders_;
}

std::vector<std::string> backend_stand_in::order_errors() const
{
    std::lock_guard lock(mutex_);
    return order_errors_;
}

std::vector<std::chrono::steady_clock::time_point> backend_stand_in::arrivals() const
{
    std::lock_guard lock(mutex_);
    return arrivals_;
}

std::vector<given_response> backend_stand_in::responses() const
{
    std::lock_guard lock(mutex_);
    return responses_;
}

std::vector<served_request> backend_stand_in::served() const
{
    std::lock_guard lock(mutex_);
    return served_;
}

} // namespace banyanshunt
