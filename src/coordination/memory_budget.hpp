#pragma once

/// \file
/// The memory of one entry host that requests of callers may occupy.
///
/// Made for callers that send more and larger bodies at once than the host's memory holds, by
/// mistake or on purpose: a process that outgrows its memory is killed with all that it runs, so a
/// body that does not fit is refused before it is held. Pure.

#include <cstddef>
#include <map>
#include <memory>
#include <utility>

#include "state/ids.hpp"

namespace banyanshunt
{

class memory_budget
{
public:
    /// A budget of this many bytes.
    explicit memory_budget(std::size_t total) : total_(total) {}

    /// Reserves memory for a request of a workspace, which is empty for callers without a known
    /// key, if it fits; the request holds `already` bytes. One that is alone always fits, because
    /// the configuration bounds it. While others hold memory too, or the budget is short, one
    /// workspace gets at most `max_workspace_fraction` of it.
    bool reserve(const workspace_id& workspace, std::size_t bytes, std::size_t already = 0);
    void release(const workspace_id& workspace, std::size_t bytes);

    std::size_t held() const { return held_; }
    std::size_t total() const { return total_; }
    /// Whether a request was refused and the budget has been short since.
    bool is_short() const { return short_; }
    /// Returns once for each shortage that it has begun.
    bool take_new_shortage() { return short_ && !std::exchange(shortage_taken_, true); }
    /// Ends the shortage if less than `relief_fraction` is held; returns whether it ended.
    bool end_shortage();

    /// The rest stays free for the other workspaces.
    static constexpr double max_workspace_fraction = 0.75;
    /// The same for all callers without a known key together.
    static constexpr double max_unknown_fraction = 0.25;
    static constexpr double relief_fraction = 0.5;

private:
    std::size_t total_;
    std::size_t held_ = 0;
    bool short_ = false;
    bool shortage_taken_ = false;
    std::map<workspace_id, std::size_t> by_workspace_;
};

/// Memory that is reserved until the object is destroyed.
class memory_reservation
{
public:
    memory_reservation() = default;
    memory_reservation(std::shared_ptr<memory_budget> budget, workspace_id workspace);
    ~memory_reservation() { release(); }
    memory_reservation(memory_reservation&& other) noexcept { *this = std::move(other); }
    memory_reservation& operator=(memory_reservation&& other) noexcept;
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;

    /// Reserves what is missing up to `bytes`; false if that does not fit.
    bool grow_to(std::size_t bytes);

private:
    void release();

    /// Requests may outlive the host that they came to, when it ends.
    std::shared_ptr<memory_budget> budget_;
    workspace_id workspace_;
    std::size_t bytes_ = 0;
};

} // namespace banyanshunt
