// One caller names an adapter that its model does not have. What the other callers, who name
// adapters that exist, are answered.

#include <cmath>
#include <set>

#include "http_parts.hpp"

using namespace review;

namespace
{

constexpr int adapters = 12;
constexpr int adapter_slots = 8;
constexpr int events_in_stream = 10;
constexpr milliseconds event_gap{40};

/// A model server as the pages describe it: it carries out orders, and rejects those that do not
/// exist with 400 and requests for what it does not hold with 421.
class engine
{
public:
    engine(std::string id, std::string zone, std::string model, case_record& record)
        : id_(std::move(id)), zone_(std::move(zone)), model_(std::move(model)), record_(record),
          server_([this](channel& caller, const http_message& request) { serve(caller, request); })
    {
    }

    const std::string& id() const { return id_; }
    json entry() const
    {
        constexpr int slots = 64;
        json models = {{{"name", model_}, {"version", 1}, {"adapters", json::array()}}};
        return server_entry_of("quote-writer", zone_, server_.port(), slots, models);
    }

private:
    void serve(channel& caller, const http_message& request)
    {
        std::string id = "X-Request-Id: " + request.field("x-request-id") + "\r\n";
        std::string expected = request.field("x-expect-instance");
        if (!expected.empty() && expected != id_)
        {
            caller.send(response_text(421, id, ""));
        }
        else if (request.first_line.starts_with("GET /api/report "))
        {
            caller.send(response_text(200, "Content-Type: application/json\r\n", report()));
        }
        else if (request.first_line.starts_with("POST /api/order "))
        {
            caller.send(response_text(carry_out(json::parse(request.body)), "", ""));
        }
        else if (int status = begin(request.field("x-model")); status != 200)
        {
            std::string mark = status == 503 ? "X-Not-Executed: 1\r\n" : "";
            caller.send(response_text(status, id + mark, ""));
        }
        else
        {
            stream(caller, id);
            end(request.field("x-model"));
        }
    }

    std::string report()
    {
        std::lock_guard lock(mutex_);
        json models = {{{"name", model_}, {"version", 1}, {"adapters", held_}}};
        return json{{"stage", "hybrid"},   {"models", models},       {"busy", false},
                    {"sequence", orders_}, {"waiting", 0},           {"running", 0},
                    {"kv_used", 0},        {"kv_total", 113535},     {"handles", 0},
                    {"born", 1},           {"coming", json::array()}}
            .dump();
    }

    int carry_out(const json& order)
    {
        std::lock_guard lock(mutex_);
        std::string adapter = order.value("adapter", "");
        int status = judge(order, adapter);
        record_.write("order server={} operation={} unit={}/{} status={}", id_,
                      order.at("operation").get<std::string>(),
                      order.at("model").get<std::string>(), adapter, status);
        return status;
    }
    int judge(const json& order, const std::string& adapter)
    {
        constexpr int done = 200;
        constexpr int accepted = 202;
        constexpr int no_such_order = 400;
        constexpr int conflict = 409;
        bool exists = order.contains("holder") && order.contains("fencing_token") &&
                      order.at("model") == model_ && is_adapter(adapter);
        if (order.contains("expected") && order.at("expected") != orders_)
        {
            return conflict;
        }
        if (!exists)
        {
            return no_such_order;
        }
        bool loads = order.at("operation") == "load";
        if (loads == held_.contains(adapter))
        {
            return done;
        }
        if (loads && held_.size() >= adapter_slots)
        {
            record_.write("overload server={}", id_);
        }
        ++orders_;
        if (loads)
        {
            held_.insert(adapter);
            return accepted;
        }
        if (runs_[adapter] > 0)
        {
            // Dropped when its runs have ended.
            unloading_.insert(adapter);
            return accepted;
        }
        held_.erase(adapter);
        return done;
    }
    static bool is_adapter(const std::string& name)
    {
        for (int n = 1; n <= adapters; ++n)
        {
            if (name == fmt::format("a{}", n))
            {
                return true;
            }
        }
        return false;
    }

    static std::string adapter_of(const std::string& unit)
    {
        auto slash = unit.find('/');
        return slash == std::string::npos ? "" : unit.substr(slash + 1);
    }
    /// Begins a run; returns the status of one that cannot begin.
    int begin(const std::string& unit)
    {
        std::lock_guard lock(mutex_);
        std::string adapter = adapter_of(unit);
        bool held = unit.substr(0, unit.find('/')) == model_ &&
                    (adapter.empty() || held_.contains(adapter));
        int status = !held ? 421 : unloading_.contains(adapter) ? 503 : 200;
        runs_[adapter] += status == 200 ? 1 : 0;
        return status;
    }
    void end(const std::string& unit)
    {
        std::lock_guard lock(mutex_);
        std::string adapter = adapter_of(unit);
        if (--runs_[adapter] == 0 && unloading_.erase(adapter) > 0)
        {
            held_.erase(adapter);
        }
    }

    void stream(channel& caller, const std::string& id)
    {
        caller.send("HTTP/1.1 200 OK\r\n" + id + "X-Server-Stamp: " + id_ +
                    "\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n");
        for (int n = 1; n <= events_in_stream; ++n)
        {
            std::string event = fmt::format("id: {}\ndata: token\n\n", n);
            if (!caller.send(fmt::format("{:x}\r\n{}\r\n", event.size(), event)))
            {
                return;
            }
            std::this_thread::sleep_for(event_gap);
        }
        caller.send("0\r\n\r\n");
    }

    std::string id_;
    std::string zone_;
    std::string model_;
    case_record& record_;
    std::mutex mutex_;
    std::set<std::string> held_;
    std::set<std::string> unloading_;
    /// Requests that run, by adapter; those without one under an empty name.
    std::map<std::string, int> runs_;
    int orders_ = 0;
    raw_server server_;
};

json manifest()
{
    auto model = [](const char* name, int its_adapters)
    {
        return json{{"name", name},    {"weights_mb", 72700}, {"load_s", 6.0},
                    {"warm_s", 0.47},  {"disk_s", 0.84},      {"adapters", its_adapters},
                    {"adapter_mb", 66}};
    };
    constexpr int time_budget_ms = 4000;
    return {{"version", 3},
            {"routes", {route("/line/", "streaming", "quote-writer", true, time_budget_ms)}},
            {"services",
             {{{"name", "quote-writer"},
               {"health_path", "/health"},
               {"max_connections", 360},
               {"engine",
                {{"models", {model("busy", 0), model("kitchen", adapters)}},
                 {"weights_mb", 160000},
                 {"adapter_slots", adapter_slots},
                 {"loads_per_s", 3.7}}}}}},
            {"limits", limits()},
            {"tenants",
             {tenant("showrooms", "key-showrooms", 50000, 50000),
              tenant("installer", "key-installer", 50000, 50000)}}};
}

struct asked_unit
{
    int asked = 0;
    int served = 0;
    double first_at = 0;
    double last_at = 0;
};

int ask(const deployment& fleet, int host, const std::string& id, const std::string& key,
        const std::string& unit)
{
    constexpr milliseconds patience{4500};
    auto it = channel::connect(fleet.ip(host), fleet.caller_port());
    if (!it)
    {
        return 0;
    }
    it->send(fmt::format("POST /line/quote HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {}\r\n"
                         "X-Model: {}\r\nX-Token-Count: 291,9\r\nX-Prompt-Prefix: {:x}:291\r\n"
                         "X-Deadline-Ms: 4000\r\nAuthorization: Bearer {}\r\n"
                         "Content-Length: 5\r\n\r\nquote",
                         id, unit, std::hash<std::string>()(id), key));
    auto response = it->receive(patience);
    return response ? response->status() : 0;
}

/// Asks for a unit again and again, each time on a new thread and another host.
void ask_repeatedly(const deployment& fleet, const std::string& name, const std::string& key,
                    const std::vector<std::string>& units, milliseconds gap, milliseconds length,
                    const std::function<void(const std::string&, double, int)>& on_answer)
{
    std::vector<std::thread> calls;
    auto until = clock::now() + length;
    for (std::size_t n = 0; clock::now() < until; ++n)
    {
        calls.emplace_back(
            [&, n]
            {
                const auto& unit = units[n % units.size()];
                double sent_at = seconds_since_begin();
                int host = static_cast<int>((n / units.size() + n) % 4);
                on_answer(unit, sent_at,
                          ask(fleet, host, fmt::format("{}-{}", name, n), key, unit));
            });
        std::this_thread::sleep_for(gap);
    }
    for (auto& it : calls)
    {
        it.join();
    }
}

/// Of the rule "Starved" for models and adapters: those that are asked for four times or more, over
/// 8 s, and never served are no more than 1 + 10 in 100, or three times what chance would give.
int judge(const std::map<std::string, asked_unit>& units, case_record& record)
{
    constexpr int min_asked = 4;
    constexpr double min_span_s = 8;
    int asked = 0;
    int served = 0;
    for (const auto& [name, it] : units)
    {
        asked += it.asked;
        served += it.served;
        record.write("unit {} asked={} served={}", name, it.asked, it.served);
    }
    double served_share = static_cast<double>(served) / std::max(asked, 1);
    int counted = 0;
    int starved = 0;
    double by_chance = 0;
    for (const auto& [name, it] : units)
    {
        if (it.asked >= min_asked && it.last_at - it.first_at >= min_span_s)
        {
            ++counted;
            starved += it.served == 0 ? 1 : 0;
            by_chance += std::pow(1 - served_share, it.asked);
        }
    }
    double allowed = std::max(1 + 0.1 * counted, 3 * by_chance);
    record.write("models and adapters asked for: {}; never served: {}; allowed: {:.2f}; requests: "
                 "{} of {} served",
                 counted, starved, allowed, served, asked);
    return starved > allowed ? 1 : 0;
}

int run(case_record& record)
{
    deployment fleet(manifest());
    // Stand-ins last until the process ends, as their threads do.
    std::vector<engine*> engines;
    for (const char* zone : {"a", "b"})
    {
        engines.push_back(new engine(fmt::format("i-busy-{}", zone),
                                     fmt::format("kathmandu-{}", zone), "busy", record));
    }
    engines.push_back(new engine("i-kitchen", "kathmandu-a", "kitchen", record));
    for (auto* it : engines)
    {
        fleet.add_server(it->id(), [it] { return it->entry(); });
    }
    fleet.start(4);
    record.write("hosts ready");
    std::this_thread::sleep_for(lead_time);

    constexpr milliseconds length{30000};
    constexpr milliseconds busy_gap{100};
    constexpr milliseconds adapter_gap{250};
    constexpr milliseconds wrong_gap{1000};
    /// It begins before the others and ends after them.
    constexpr milliseconds wrong_length{38000};
    std::mutex mutex;
    std::map<std::string, asked_unit> units;
    auto count = [&](const std::string& unit, double sent_at, int status)
    {
        record.write("request unit={} sent={:.3f} status={}", unit, sent_at, status);
        std::lock_guard lock(mutex);
        auto& it = units[unit];
        it.first_at = it.asked == 0 ? sent_at : std::min(it.first_at, sent_at);
        it.last_at = std::max(it.last_at, sent_at);
        ++it.asked;
        it.served += status == 200 ? 1 : 0;
    };
    auto count_wrong = [&](const std::string& unit, double sent_at, int status) {
        record.write("request unit={} sent={:.3f} status={} (no such adapter)", unit, sent_at,
                     status);
    };
    std::vector<std::string> names;
    for (int n = 1; n <= adapters; ++n)
    {
        names.push_back(fmt::format("kitchen/a{}", n));
    }
    std::vector<std::thread> callers;
    if (has_trouble())
    {
        callers.emplace_back(
            [&]
            {
                ask_repeatedly(fleet, "wrong", "key-installer",
                               {fmt::format("kitchen/a{}", adapters + 1)}, wrong_gap, wrong_length,
                               count_wrong);
            });
        std::this_thread::sleep_for(milliseconds(2000));
    }
    callers.emplace_back(
        [&] { ask_repeatedly(fleet, "busy", "key-showrooms", {"busy"}, busy_gap, length, count); });
    callers.emplace_back(
        [&]
        { ask_repeatedly(fleet, "kitchen", "key-showrooms", names, adapter_gap, length, count); });
    for (auto& it : callers)
    {
        it.join();
    }
    return judge(units, record);
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}
