// Callers state a transfer coding other than chunked for a body. What servers run, and which answer
// each request gets.

#include "booking_desk.hpp"

using namespace review;

namespace
{

constexpr int pairs = 40;
constexpr milliseconds patience{1500};

std::string booking(const std::string& id, const std::string& length, const std::string& body)
{
    return fmt::format("POST /book/deposit HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {}\r\n"
                       "X-Deadline-Ms: 1000\r\nAuthorization: Bearer key-showrooms\r\n{}\r\n{}",
                       id, length, body);
}

std::string length_of(const std::string& body)
{
    return fmt::format("Content-Length: {}\r\n", body.size());
}

/// Sends two requests on one channel, one after the other, and counts wrong answers. The body of
/// the first one is the text of a request.
int send_pair(const deployment& fleet, int n, std::map<std::string, std::string>& sent,
              case_record& record)
{
    auto caller = channel::connect(fleet.ip(n % 4), fleet.caller_port());
    if (!caller)
    {
        throw std::runtime_error("a host takes no connection");
    }
    std::string body = booking(fmt::format("quoted-{}", n), length_of(""), "");
    std::string first = fmt::format("first-{}", n);
    std::string second = fmt::format("second-{}", n);
    sent[first] = body;
    sent[second] = "deposit";
    int wrong = 0;
    for (const auto& id : {first, second})
    {
        bool coded = has_trouble() && id == first;
        auto length = coded ? "Transfer-Encoding: gzip\r\n" : length_of(sent[id]);
        record.write("sent id={} {}", id, length.substr(0, length.size() - 2));
        if (!caller->send(booking(id, length, sent[id])))
        {
            record.write("closed id={}", id);
            break;
        }
        auto answer = caller->receive(patience);
        if (!answer)
        {
            record.write("unanswered id={}", id);
            break;
        }
        std::string answered = answer->field("x-request-id");
        bool success = answer->status() / 100 == 2;
        record.write("answer id={} status={} to={}", id, answer->status(), answered);
        wrong += success && answered != id ? 1 : 0;
    }
    return wrong;
}

int run(case_record& record)
{
    deployment fleet(manifest_of_booking_desk());
    auto& desk = *new booking_desk(fleet);
    fleet.start(4);
    std::this_thread::sleep_for(lead_time);
    std::map<std::string, std::string> sent;
    int wrong_answers = 0;
    for (int n = 0; n < pairs; ++n)
    {
        wrong_answers += send_pair(fleet, n, sent, record);
    }
    std::this_thread::sleep_for(patience);
    int not_sent = 0;
    int changed = 0;
    for (const auto& it : desk.runs())
    {
        std::string id = it.field("x-request-id");
        auto known = sent.find(id);
        bool is_known = known != sent.end();
        bool same_body = is_known && known->second == it.body;
        record.write("run id={} sent={} body={}", id, is_known, same_body ? "same" : "other");
        not_sent += is_known ? 0 : 1;
        changed += is_known && !same_body ? 1 : 0;
    }
    record.write("UNASKED: {} runs of requests that no caller sent, {} with another body; MIXED: "
                 "{} answers to other requests; runs: {}",
                 not_sent, changed, wrong_answers, desk.runs().size());
    return not_sent + changed + wrong_answers > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}
