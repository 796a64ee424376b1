#pragma once

/// \file
/// The interface to the platform's list of live and leaving hosts, which lags behind reality.

#include <concepts>
#include <string>
#include <vector>

#include "state/ids.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

/// One entry of the list. The list lags: a listed host may have stopped, a new one may be missing.
struct listed_host
{
    /// The name of the entry host that the process runs on, or of the backend server.
    std::string name;
    /// "entry", "placer" or "backend".
    std::string role;
    domain_id domain;
    /// Where peers reach an entry or placer: IP address and port of its gRPC server.
    std::string address;
    /// The platform is about to reclaim the host.
    bool leaving = false;
    friend bool operator==(const listed_host&, const listed_host&) = default;
};

/// A client of the host list.
template <class T>
concept host_list = requires(T& list)
{
    {
        list.hosts()
        } -> std::same_as<verdict<std::vector<listed_host>>>;
};

} // namespace banyanshunt
