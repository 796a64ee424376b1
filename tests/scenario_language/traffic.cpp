#include "scenario_language/traffic.hpp"

namespace banyanshunt::scenario
{
namespace
{

// The engine stand-in responds "tok0 tok1 ..." to every prompt.
std::string completion_text(std::int64_t tokens)
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
    auto new_batch = std::make_unique<batch>();
    new_batch->responses.resize(requests.size());
    new_batch->requests = std::move(requests);
    batch* it = new_batch.get();
    {
        std::lock_guard lock(mutex_);
        labels_[label] = std::move(new_batch);
    }
    for (std::size_t i = 0; i < it->requests.size(); ++i)
    {
        it->threads.emplace_back(
            [this, it, i]
            {
                caller_response response = call(http_, it->requests[i].call);
                std::lock_guard lock(mutex_);
                it->responses[i] = std::move(response);
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
                                  const std::optional<caller_response>& response, int runs)
{
    observed_request out;
    out.name = request.name;
    out.response = response;
    out.runs = runs;
    out.workspace = request.workspace;
    out.expected_text = completion_text(request.completion_tokens);
    out.tokens = request.prompt_tokens + (response ? response->completion_tokens : 0);
    return out;
}

} // namespace banyanshunt::scenario
