#include "scenario_language/traffic.hpp"

namespace banyanshunt::scenario
{
namespace
{

// The engine stand-in answers "tok0 tok1 ..." to every prompt.
std::string answer_text(std::int64_t tokens)
{
    std::string text;
    for (std::int64_t i = 0; i < tokens; ++i)
    {
        text += "tok" + std::to_string(i) + " ";
    }
    return text;
}

} // namespace

traffic::~traffic()
{
    for (auto& [label, it] : labels_)
    {
        join(label);
    }
}

void traffic::send(const std::string& label, std::vector<scenario_request> requests)
{
    auto made = std::make_unique<batch>();
    made->replies.resize(requests.size());
    made->requests = std::move(requests);
    batch* it = made.get();
    {
        std::lock_guard lock(mutex_);
        labels_[label] = std::move(made);
    }
    for (std::size_t i = 0; i < it->requests.size(); ++i)
    {
        it->threads.emplace_back(
            [this, it, i]
            {
                caller_response reply = call(http_, it->requests[i].call);
                std::lock_guard lock(mutex_);
                it->replies[i] = std::move(reply);
            });
    }
}

void traffic::join(const std::string& label)
{
    for (auto& thread : labels_.at(label)->threads)
    {
        if (thread.joinable())
        {
            thread.join();
        }
    }
}

const std::vector<scenario_request>& traffic::sent(const std::string& label) const
{
    return labels_.at(label)->requests;
}

std::vector<std::string> traffic::labels() const
{
    std::vector<std::string> out;
    for (const auto& [label, it] : labels_)
    {
        out.push_back(label);
    }
    return out;
}

observed_request traffic::observe(const scenario_request& request,
                                  const std::optional<caller_response>& reply, int runs)
{
    observed_request out;
    out.name = request.name;
    out.response = reply;
    out.runs = runs;
    out.workspace = request.workspace;
    out.expected_text = answer_text(request.answer_tokens);
    out.tokens = request.prompt_tokens + (reply ? reply->completion_tokens : 0);
    return out;
}

} // namespace banyanshunt::scenario
