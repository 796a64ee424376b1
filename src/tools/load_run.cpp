#include "tools/load_run.hpp"

#include <atomic>
#include <mutex>
#include <thread>

#include <fmt/format.h>

#include "state/bounded_queue.hpp"
#include "state/periodic_thread.hpp"
#include "tools/idle_monitor.hpp"

namespace banyanshunt
{
namespace
{

constexpr milliseconds progress_interval(1000);
constexpr milliseconds pop_timeout(100);

class load_runner
{
public:
    load_runner(const workload& load, const std::vector<planned_request>& plan)
        : load_(load), plan_(plan), queue_(plan.size() + 1), started_(boot_clock().now())
    {
        outcomes_.reserve(plan.size());
    }

    load_result run(const std::function<void(const load_progress&)>& report_progress)
    {
        idle_monitor idle(load_.engine_addresses, load_.accelerators_per_engine);
        periodic_thread progress(
            [&]
            {
                report_progress(progress_now());
                return progress_interval;
            });
        std::vector<std::thread> senders;
        for (std::int64_t i = 0; i < load_.connections; ++i)
        {
            senders.emplace_back([this] { send_until_closed(); });
        }
        enqueue_on_schedule();
        queue_.close();
        for (auto& sender : senders)
        {
            sender.join();
        }
        progress.stop();
        report_progress(progress_now());
        return {.outcomes = std::move(outcomes_),
                .idle_accelerator_time = idle.stop(),
                .elapsed = boot_clock().now() - started_};
    }

private:
    void enqueue_on_schedule()
    {
        for (std::size_t i = 0; i < plan_.size(); ++i)
        {
            std::this_thread::sleep_for(started_ + plan_[i].at - boot_clock().now());
            queue_.try_push(i);
        }
    }

    void send_until_closed()
    {
        while (true)
        {
            auto index = queue_.pop(pop_timeout);
            if (index)
            {
                send(plan_[*index]);
            }
            else if (queue_.closed())
            {
                return;
            }
        }
    }

    void send(const planned_request& planned)
    {
        ++sent_;
        load_outcome outcome{.planned = planned,
                             .intended = started_ + planned.at,
                             .response = call(http_, request_of(planned))};
        answered_ += outcome.response.answered() ? 1 : 0;
        refused_ += outcome.response.refused() ? 1 : 0;
        lost_ += !outcome.response.answered() && !outcome.response.refused() ? 1 : 0;
        std::lock_guard lock(mutex_);
        outcomes_.push_back(std::move(outcome));
    }

    caller_request request_of(const planned_request& planned) const
    {
        const load_stream& stream = load_.streams[planned.stream];
        auto entry = static_cast<std::size_t>(planned.number) % load_.entry_addresses.size();
        caller_request request{.address = load_.entry_addresses[entry],
                               .bearer = stream.bearer,
                               .path = stream.path,
                               .body = {},
                               .deadline = stream.deadline,
                               .idempotency_key = {}};
        if (stream.path.empty())
        {
            request.path = "/v1/completions";
            request.body = completion_body(planned.name, planned.prompt, stream.completion_tokens);
            return request;
        }
        request.body = fmt::format(R"({{"run":{},"number":{}}})", load_.seed, planned.number);
        if (stream.idempotent)
        {
            request.idempotency_key = fmt::format("load-{}-{}", load_.seed, planned.number);
        }
        return request;
    }

    load_progress progress_now() const
    {
        return {.elapsed = std::chrono::duration_cast<seconds>(boot_clock().now() - started_),
                .planned = plan_.size(),
                .sent = sent_,
                .answered = answered_,
                .refused = refused_,
                .lost = lost_};
    }

    const workload& load_;
    const std::vector<planned_request>& plan_;
    bounded_queue<std::size_t> queue_;
    instant started_;
    http_client http_;
    std::atomic<std::int64_t> sent_ = 0;
    std::atomic<std::int64_t> answered_ = 0;
    std::atomic<std::int64_t> refused_ = 0;
    std::atomic<std::int64_t> lost_ = 0;
    std::mutex mutex_;
    std::vector<load_outcome> outcomes_;
};

} // namespace

load_result run_load(const workload& load, const std::vector<planned_request>& plan,
                     const std::function<void(const load_progress&)>& report_progress)
{
    return load_runner(load, plan).run(report_progress);
}

} // namespace banyanshunt
