#pragma once

/// \file
/// Defines the stand-in for a model engine. Its answer to a prompt is "tok0 tok1 ...", so that a
/// test can tell a whole answer from one with a gap or a repeat.

#include <memory>
#include <string>
#include <vector>

#include "coordination/model_engine.hpp"
#include "stand_ins/backend_ledger.hpp"
#include "stand_ins/fault_table.hpp"

namespace banyanshunt
{

struct engine_stand_in_options
{
    std::string address = "127.0.0.1:0";
    mebibytes memory{80000};
    bool checks_fencing = true;
    /// Where loads are fetched from; empty makes every load instant.
    std::string weight_store;
    milliseconds time_per_token{2};
    incarnation_id incarnation{1};
    /// Where replicas and runs are noted, if anywhere; outlives the stand-in.
    backend_ledger* ledger = nullptr;
};

/// Serves from construction to destruction. POST /control/faults takes rows of `fault_table` for
/// the calls "complete", "resume", "order", "report" and "load".
class engine_stand_in
{
public:
    explicit engine_stand_in(const engine_stand_in_options& options);
    ~engine_stand_in();

    const std::string& address() const;
    fault_table& faults();

    /// Header fields that came with completions, as "name: value"; tests look for leaked keys.
    std::vector<std::string> headers_seen() const;
    /// How often each request id was run.
    int runs_of(const request_id& id) const;
    /// Completions begun so far.
    int runs() const;
    /// Requests that were cancelled.
    int cancels() const;
    /// Orders that would have overcommitted the memory; each one is a defect of the placer.
    int overcommits() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace banyanshunt
