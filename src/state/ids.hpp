#pragma once

/// \file
/// The types of all identifiers.

#include "state/strong_type.hpp"

namespace banyanshunt
{

/// Names an entry host. A replaced host keeps its name and gets a new `incarnation_id`.
using host_id = strong_text<struct host_id_tag>;
/// Names the machine on which an entry host runs, by its address. A replaced host that keeps its
/// name runs on another machine.
using machine_id = strong_text<struct machine_id_tag>;
/// Names a failure domain.
using domain_id = strong_text<struct domain_id_tag>;
using workspace_id = strong_text<struct workspace_id_tag>;
using model_id = strong_text<struct model_id_tag>;
using adapter_id = strong_text<struct adapter_id_tag>;
/// Names a backend server: a model engine or a plain service.
using server_id = strong_text<struct server_id_tag>;
using route_id = strong_text<struct route_id_tag>;
/// The public part of a bearer key, before the dot; the secret follows it.
using key_id = strong_text<struct key_id_tag>;
/// Names one request from a caller; unique over all hosts.
using request_id = strong_text<struct request_id_tag>;
/// Names a part of a prompt that requests may share.
using prompt_part = strong_number<struct prompt_part_tag>;
/// Names one version of a model's checkpoint.
using version_id = strong_text<struct version_id_tag>;
/// Names one stream of the platform's log service.
using stream_name = strong_text<struct stream_name_tag>;
/// The writer's own name for a log record, by which it finds out after a lost response whether the
/// record was appended.
using record_id = strong_text<struct record_id_tag>;

/// The number that the operators assign to a ticket.
using ticket_number = strong_number<struct ticket_number_tag>;
/// The position of a record in one stream of the log; the first record has offset 0.
using log_offset = strong_number<struct log_offset_tag>;
/// The number that the operators assign to a configuration.
using config_version = strong_number<struct config_version_tag>;
/// The offset of a lease's claim. An engine compares it to refuse orders of former holders.
using fencing_number = strong_number<struct fencing_number_tag>;
/// Distinguishes incarnations of a process at the same address; drawn at random at start.
using incarnation_id = strong_number<struct incarnation_tag>;

} // namespace banyanshunt
