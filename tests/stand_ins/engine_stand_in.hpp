#pragma once

/// \file
/// A stand-in for a model engine. Its completion of a prompt is "tok0 tok1 ...", so that a test can
/// distinguish a complete response from one with missing or repeated tokens.

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
    /// The address from which weights are fetched; if empty, loads complete at once.
    std::string weight_store;
    milliseconds time_per_token{2};
    incarnation_id incarnation{1};
    /// Records replicas and runs if not null; must outlive the stand-in.
    backend_ledger* ledger = nullptr;
};

/// Serves from construction to destruction. POST /control/faults accepts `fault_table` rows for
/// the calls "complete", "resume", "order", "report" and "load".
class engine_stand_in
{
public:
    explicit engine_stand_in(const engine_stand_in_options& options);
    ~engine_stand_in();

    const std::string& address() const;
    fault_table& faults();

    /// Header fields received with completions, as "name: value"; tests check them for leaked keys.
    std::vector<std::string> headers_seen() const;
    /// The number of runs of the request with this id.
    int runs_of(const request_id& id) const;
    /// The number of completions started so far.
    int runs() const;
    /// The number of cancellations received.
    int cancels() const;
    /// The number of orders that would have overcommitted the memory; each is a placer defect.
    int overcommits() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace banyanshunt
