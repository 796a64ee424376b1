// Callers send heads within the limit on their size that consist of very many short fields. How
// much memory a host needs for them.

#include "booking_desk.hpp"

using namespace review;

namespace
{

constexpr int machines = 4;
constexpr int connections = 1900;
constexpr int rounds = 3;
/// Within `max_header_bytes` of the manifest.
constexpr std::size_t head_bytes = 16300;
/// How long the callers of one round keep their connections.
constexpr milliseconds hold_time{4000};

/// A head whose body is one byte that does not come.
std::string head()
{
    std::string text = "POST /book/deposit HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 1\r\n";
    std::size_t left = head_bytes - text.size() - 2;
    if (!has_trouble())
    {
        // As many bytes in one field.
        return text + "a: " + std::string(left - 5, 'a') + "\r\n\r\n";
    }
    const std::string field = "a:\r\n";
    for (; left >= field.size(); left -= field.size())
    {
        text += field;
    }
    return text + "\r\n";
}

/// Whether an ordinary caller gets its answer.
bool serves(const deployment& fleet, int host, const std::string& id)
{
    auto it = channel::connect(fleet.ip(host), fleet.caller_port());
    bool sent =
        it &&
        it->send(fmt::format("GET /status/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {}\r\n"
                             "X-Deadline-Ms: 1000\r\nAuthorization: Bearer key-showrooms\r\n\r\n",
                             id));
    auto answer = sent ? it->receive(milliseconds(1500)) : std::nullopt;
    return answer && answer->status() == 200;
}

/// Runs one round against a host; returns whether it needs more memory than its machine has.
bool exceeds_memory(const deployment& fleet, int host, case_record& record)
{
    const std::string text = head();
    std::vector<std::unique_ptr<channel>> callers;
    int most_mb = 0;
    auto until = clock::now() + hold_time;
    while (clock::now() < until && most_mb <= deployment::memory_mb)
    {
        if (callers.size() < connections)
        {
            callers.push_back(channel::connect(fleet.ip(host), fleet.caller_port()));
            if (!callers.back() || !callers.back()->send(text))
            {
                record.write("refused host={} connection={}", host, callers.size());
            }
        }
        else
        {
            std::this_thread::sleep_for(milliseconds(20));
        }
        if (callers.size() % 50 == 0)
        {
            most_mb = std::max(most_mb, fleet.resident_mb(host));
        }
    }
    record.write("host={} connections={} head_bytes={} resident_mb={} allowed_mb={}", host,
                 callers.size(), text.size(), most_mb, deployment::memory_mb);
    return most_mb > deployment::memory_mb;
}

int run(case_record& record)
{
    rlimit descriptors{};
    ::getrlimit(RLIMIT_NOFILE, &descriptors);
    constexpr rlim_t needed = connections + 500;
    descriptors.rlim_cur = std::max(descriptors.rlim_cur, std::min(descriptors.rlim_max, needed));
    ::setrlimit(RLIMIT_NOFILE, &descriptors);
    if (descriptors.rlim_cur < needed)
    {
        throw std::runtime_error("too few descriptors");
    }
    deployment fleet(manifest_of_booking_desk());
    booking_desk& desk = *new booking_desk(fleet);
    fleet.start(machines);
    std::this_thread::sleep_for(lead_time);
    int machines_at_fault = 0;
    for (int host : {0, 1})
    {
        int ends = 0;
        for (int n = 0; n < rounds; ++n)
        {
            record.write("before host={} ordinary request served={}", host,
                         serves(fleet, host, fmt::format("before-{}-{}", host, n)));
            if (exceeds_memory(fleet, host, record))
            {
                ++ends;
                record.write("killed host={}: over the memory of its machine", host);
                fleet.restart(host);
            }
        }
        machines_at_fault += ends >= rounds ? 1 : 0;
    }
    // A tenth of the machines in use, two at least.
    constexpr int allowed = std::max(2, (machines + 9) / 10);
    record.write("Fault: on {} machines processes ended {} times by their use of memory; the day "
                 "counts 0 from {} on; runs of servers: {}",
                 machines_at_fault, rounds, allowed, desk.runs().size());
    return machines_at_fault >= allowed ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}
