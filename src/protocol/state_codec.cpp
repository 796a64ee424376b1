#include "protocol/state_codec.hpp"

#include <nlohmann/json.hpp>

#include "protocol/object_codec.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

using nlohmann::json;

constexpr std::int64_t state_format = 1;
constexpr std::int64_t max_chunks = 1'000'000;
constexpr std::size_t digest_digits = 64;

// Collects entries into documents, and starts a new one when the last reaches `state_chunk_size`.
class delta_writer
{
public:
    template <class Id, class Object>
    void add_table(const char* kind, const state_table<Id, Object>& table)
    {
        for (const auto& [id, entry] : table)
        {
            json it = {{"ticket", entry->ticket.count()}, {"offset", entry->offset.count()}};
            if (entry->value)
            {
                it["value"] = write_object(*entry->value);
            }
            add(kind, id.str(), std::move(it));
        }
    }

    void add(const char* kind, const std::string& name, json entry)
    {
        constexpr std::size_t punctuation = 8;
        size_ += name.size() + entry.dump().size() + punctuation;
        chunks_.back()[kind][name] = std::move(entry);
        if (size_ >= state_chunk_size)
        {
            chunks_.push_back(json::object());
            size_ = 0;
        }
    }

    std::vector<std::string> finish(const state_delta& delta)
    {
        std::vector<std::string> texts;
        for (auto& chunk : chunks_)
        {
            chunk["format"] = state_format;
            chunk["since"] = delta.since.count();
            chunk["through"] = delta.entries.next_offset.count();
            chunk["last_ticket"] = delta.entries.last_ticket.count();
            chunk["part"] = texts.size();
            chunk["parts"] = chunks_.size();
            texts.push_back(chunk.dump());
        }
        return texts;
    }

private:
    std::vector<json> chunks_{json::object()};
    std::size_t size_ = 0;
};

// Calls `read` with a reader of each named entry of one kind.
template <class Read>
void each_entry(json_reader& in, const char* kind, json_errors& errors, Read read)
{
    const json* member = in.member(kind);
    if (!member)
    {
        return;
    }
    if (!member->is_object())
    {
        errors.report(kind, "must be an object of names");
        return;
    }
    for (const auto& item : member->items())
    {
        json_reader entry(item.value(), in.path_of(kind) + "." + item.key(), errors);
        read(item.key(), entry);
        entry.reject_unknown();
    }
}

template <class Id, class Object>
void read_table(json_reader& in, const char* kind, json_errors& errors,
                state_table<Id, Object>& table)
{
    each_entry(in, kind, errors,
               [&](const std::string& name, json_reader& entry)
               {
                   state_entry<Object> it{
                       .ticket = ticket_number(entry.integer("ticket", 1, INT64_MAX)),
                       .offset = log_offset(entry.integer("offset", 0, INT64_MAX)),
                       .value = {}};
                   if (const json* value = entry.member("value"))
                   {
                       json_reader object(*value, entry.path_of("value"), errors);
                       read_object(object, errors, it.value.emplace());
                   }
                   table[Id(name)] = std::make_shared<const state_entry<Object>>(std::move(it));
               });
}

void read_accepted(json_reader& in, json_errors& errors,
                   std::map<ticket_number, accepted_ticket>& accepted)
{
    each_entry(in, "accepted", errors,
               [&](const std::string& name, json_reader& entry)
               {
                   accepted_ticket it{.offset = log_offset(entry.integer("offset", 0, INT64_MAX)),
                                      .digest = entry.text("digest", digest_digits)};
                   constexpr std::size_t max_digits = 18;
                   bool number = !name.empty() && name.size() <= max_digits &&
                                 name.find_first_not_of("0123456789") == std::string::npos;
                   if (!number)
                   {
                       errors.report(in.path_of("accepted"), "its names are ticket numbers");
                       return;
                   }
                   accepted[ticket_number(std::stoll(name))] = std::move(it);
               });
}

failure bad_chunk(std::string detail)
{
    return {.run = run_state::not_run,
            .code = errc::bad_answer,
            .detail = std::move(detail),
            .retry_after = {}};
}

} // namespace

std::vector<std::string> encode_delta(const state_delta& delta)
{
    delta_writer writer;
    writer.add_table("models", delta.entries.models);
    writer.add_table("adapters", delta.entries.adapters);
    writer.add_table("workspaces", delta.entries.workspaces);
    writer.add_table("keys", delta.entries.keys);
    writer.add_table("routes", delta.entries.routes);
    writer.add_table("servers", delta.entries.servers);
    for (const auto& [number, it] : delta.entries.accepted)
    {
        writer.add("accepted", std::to_string(number.count()),
                   {{"offset", it.offset.count()}, {"digest", it.digest}});
    }
    return writer.finish(delta);
}

verdict<done> delta_assembler::add(const std::string& chunk)
{
    json_errors errors;
    json document = parse_json(chunk, errors);
    json_reader in(document, "", errors);
    in.integer("format", state_format, state_format);
    log_offset since(in.integer("since", 0, INT64_MAX));
    log_offset next_offset(in.integer("through", 0, INT64_MAX));
    ticket_number last(in.integer("last_ticket", 0, INT64_MAX));
    std::int64_t number = in.integer("part", 0, max_chunks);
    std::int64_t chunks = in.integer("parts", 1, max_chunks);
    fleet_state& entries = delta_.entries;
    bool follows = number == next_chunk_ && number < chunks;
    bool same = number == 0 ||
                (chunks == chunks_ && since == delta_.since && next_offset == entries.next_offset);
    if (errors.empty() && !(follows && same))
    {
        return bad_chunk("a chunk is missing, repeated or of another delta");
    }
    read_table(in, "models", errors, entries.models);
    read_table(in, "adapters", errors, entries.adapters);
    read_table(in, "workspaces", errors, entries.workspaces);
    read_table(in, "keys", errors, entries.keys);
    read_table(in, "routes", errors, entries.routes);
    read_table(in, "servers", errors, entries.servers);
    read_accepted(in, errors, entries.accepted);
    if (!errors.empty())
    {
        return bad_chunk(errors.first());
    }
    delta_.since = since;
    entries.next_offset = next_offset;
    entries.last_ticket = last;
    chunks_ = chunks;
    ++next_chunk_;
    return done{};
}

} // namespace banyanshunt
