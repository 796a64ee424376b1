// Callers send fields behind a body in chunks that name another workspace's key and another number
// of tokens than the head does. As what servers run the requests.

#include "booking_desk.hpp"

using namespace review;

namespace
{

constexpr int bookings = 40;
constexpr milliseconds patience{1500};

std::string booking(const std::string& id)
{
    std::string trailer = has_trouble() ? "Authorization: Bearer key-installer\r\n"
                                          "X-Token-Count: 1,1\r\nX-Model: other\r\n"
                                        : "";
    return fmt::format("POST /book/deposit HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {}\r\n"
                       "X-Deadline-Ms: 1000\r\nX-Model: kitchen\r\nX-Token-Count: 200,80\r\n"
                       "Authorization: Bearer key-showrooms\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "7\r\ndeposit\r\n0\r\n{}\r\n",
                       id, trailer);
}

std::string all_of(const http_message& request, const std::string& name)
{
    std::string values;
    for (const auto& [field, value] : request.fields)
    {
        values += field == name ? (values.empty() ? "" : ", ") + value : "";
    }
    return values;
}

int run(case_record& record)
{
    deployment fleet(manifest_of_booking_desk());
    auto& desk = *new booking_desk(fleet);
    fleet.start(4);
    std::this_thread::sleep_for(lead_time);
    for (int n = 0; n < bookings; ++n)
    {
        auto caller = channel::connect(fleet.ip(n % 4), fleet.caller_port());
        if (!caller)
        {
            throw std::runtime_error("a host takes no connection");
        }
        caller->send(booking(fmt::format("booking-{}", n)));
        auto answer = caller->receive(patience);
        record.write("answer id=booking-{} status={}", n, answer ? answer->status() : 0);
    }
    int other_tenant = 0;
    int other_fields = 0;
    for (const auto& it : desk.runs())
    {
        record.write("run id={} tenant={} model=\"{}\" tokens=\"{}\"", it.field("x-request-id"),
                     it.field("x-tenant"), all_of(it, "x-model"), all_of(it, "x-token-count"));
        other_tenant += it.field("x-tenant") == "showrooms" ? 0 : 1;
        bool same = all_of(it, "x-model") == "kitchen" && all_of(it, "x-token-count") == "200,80";
        other_fields += same ? 0 : 1;
    }
    record.write("UNASKED: {} runs for another workspace than that of the key in the head, {} with "
                 "another X-Model or X-Token-Count; runs: {}",
                 other_tenant, other_fields, desk.runs().size());
    return other_tenant + other_fields > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}
