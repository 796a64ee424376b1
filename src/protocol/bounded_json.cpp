#include "protocol/bounded_json.hpp"

#include <utility>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "state/errors.hpp"

namespace banyanshunt
{

namespace
{

using nlohmann::json;

/// Builds a document from the parser's events; returning false ends the parser.
class document_builder
{
public:
    explicit document_builder(const json_bounds& bounds) : bounds_(bounds) {}

    bool null() { return add(nullptr); }
    bool boolean(bool value) { return add(value); }
    bool number_integer(json::number_integer_t value) { return add(value); }
    bool number_unsigned(json::number_unsigned_t value) { return add(value); }
    bool number_float(json::number_float_t value, const json::string_t&) { return add(value); }
    bool string(json::string_t& value) { return add(std::move(value)); }
    bool binary(json::binary_t&) { return false; }
    bool start_object(std::size_t) { return open(json::object()); }
    bool start_array(std::size_t) { return open(json::array()); }
    bool key(json::string_t& name)
    {
        member_ = &(*open_.back())[std::move(name)];
        return count();
    }
    bool end_object() { return close(); }
    bool end_array() { return close(); }
    bool parse_error(std::size_t, const std::string&, const json::exception&)
    {
        error_ = "not a JSON document";
        return false;
    }

    json& document() { return document_; }
    const std::string& error() const { return error_; }

private:
    bool count()
    {
        if (++values_ > bounds_.values)
        {
            error_ = fmt::format("has more than {} values", bounds_.values);
            return false;
        }
        return true;
    }
    bool add(json value)
    {
        place(std::move(value));
        return count();
    }
    /// Puts the value into the container that is open; returns where it is now.
    json* place(json value)
    {
        json* to = &document_;
        if (!open_.empty() && open_.back()->is_array())
        {
            to = &open_.back()->emplace_back();
        }
        else if (!open_.empty())
        {
            to = member_;
        }
        *to = std::move(value);
        return to;
    }
    bool open(json container)
    {
        if (open_.size() == bounds_.depth)
        {
            error_ = fmt::format("is nested more than {} levels deep", bounds_.depth);
            return false;
        }
        open_.push_back(place(std::move(container)));
        return count();
    }
    bool close()
    {
        open_.pop_back();
        return true;
    }

    const json_bounds& bounds_;
    json document_;
    /// The containers that have not ended, from the outermost.
    std::vector<json*> open_;
    /// Where the value goes whose name was read last.
    json* member_ = nullptr;
    std::size_t values_ = 0;
    std::string error_;
};

failure refused(std::string detail)
{
    return {.run = run_state::not_run,
            .code = errc::bad_answer,
            .detail = std::move(detail),
            .retry_after = std::nullopt};
}

} // namespace

verdict<json> parse_bounded_json(std::string_view text, const json_bounds& bounds)
{
    if (text.size() > bounds.bytes)
    {
        return refused(
            fmt::format("has {} bytes, but at most {} are allowed", text.size(), bounds.bytes));
    }
    document_builder builder(bounds);
    if (!json::sax_parse(text.begin(), text.end(), &builder))
    {
        return refused(builder.error());
    }
    return std::move(builder.document());
}

} // namespace banyanshunt
