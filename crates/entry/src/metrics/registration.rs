//! Names and descriptions of the metrics.

use super::EntryMetrics;

impl EntryMetrics {
    /// Registers every metric under its name.
    pub(super) fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests by how they ended",
            self.requests.clone(),
        );
        registry.register("refusals", "Refusals by reason", self.refusals.clone());
        registry.register(
            "unanswered_requests",
            "Requests that ended without a complete answer, by reason",
            self.unanswered.clone(),
        );
        registry.register(
            "failed_tries",
            "Failed attempts by reason",
            self.failed_attempts.clone(),
        );
        registry.register(
            "path_failures",
            "Failed connections of this VM to upstreams by kind",
            self.path_failures.clone(),
        );
        registry.register(
            "misfits",
            "Upstreams' answers that could not continue what the caller had received",
            self.mismatches.clone(),
        );
        registry.register(
            "resumptions",
            "Streams that callers resume, by how their origin was found or why it was not",
            self.resumptions.clone(),
        );
        registry.register(
            "stream_origins",
            "Origins of streams that this VM keeps",
            self.stream_origins.clone(),
        );
        registry.register(
            "dropped_stream_origins",
            "Origins of streams that were dropped early for want of room",
            self.dropped_origins.clone(),
        );
        registry.register(
            "paused_answers",
            "Pauses of reading from an upstream because a caller was slow",
            self.paused_answers.clone(),
        );
        registry.register(
            "calls",
            "Calls to the store and to engines by outcome",
            self.calls.clone(),
        );
        registry.register(
            "orders",
            "Orders to engines by outcome",
            self.orders.clone(),
        );
        registry.register(
            "takeovers",
            "Takeovers of the order lease by this VM",
            self.takeovers.clone(),
        );
        registry.register(
            "stood_still",
            "Pauses of this process",
            self.process_pauses.clone(),
        );
        registry.register(
            "foreign_entries",
            "Entries of the upstream list that name no usable upstream",
            self.foreign_entries.clone(),
        );
        registry.register(
            "lapsed_upstreams",
            "Upstreams that stayed in use for a time although their entries had vanished",
            self.lapsed_upstreams.clone(),
        );
        registry.register(
            "store_reads_bytes",
            "Bytes of the store's answers by call",
            self.store_reads_bytes.clone(),
        );
        registry.register(
            "discarded_reads_bytes",
            "Bytes received of the store's answers that were abandoned before their end, by call",
            self.discarded_reads_bytes.clone(),
        );
        registry.register(
            "store_set_backs",
            "Rollbacks of the store",
            self.store_rollbacks.clone(),
        );
        registry.register(
            "learned_states",
            "Terms as lease holder, by whether the former holder's learned state was restored or why \
             not",
            self.learned_states.clone(),
        );
        registry.register(
            "learned_state_writes",
            "Writes of the learned state by outcome",
            self.learned_state_writes.clone(),
        );
        registry.register(
            "answers_of_earlier_eras",
            "Store answers from before a rollback, by call",
            self.answers_of_earlier_eras.clone(),
        );
        registry.register(
            "list_repairs",
            "Reads because the upstream list differed from the announced one",
            self.list_repairs.clone(),
        );
        registry.register(
            "dark_engines",
            "Engines that became unresponsive",
            self.unresponsive_engines.clone(),
        );
        registry.register(
            "upstream_notices",
            "Answers in which upstreams state that they leave or want rest",
            self.notices.clone(),
        );
        registry.register(
            "crashed_upstreams",
            "Upstreams that crashed while requests of this VM were in progress there",
            self.crashed_upstreams.clone(),
        );
        registry.register(
            "begun_blocks",
            "Requests that this VM judged to crash upstreams",
            self.new_blocks.clone(),
        );
        registry.register(
            "blocked_requests",
            "Requests that are refused because upstreams crash under them",
            self.blocked.clone(),
        );
        registry.register(
            "crash_suspects",
            "Remembered requests that were in progress at a crash, counted once for each crash",
            self.suspects.clone(),
        );
        registry.register(
            "requests_on_probation",
            "Requests of which all VMs together send only one copy at a time",
            self.on_probation.clone(),
        );
        registry.register(
            "store_loads",
            "Loads from the weight store that this VM has ordered and that have not ended",
            self.store_loads.clone(),
        );
        registry.register(
            "store_loads_allowed",
            "Maximum number of loads from the weight store that this VM allows at once",
            self.store_loads_allowed.clone(),
        );
        registry.register(
            "limited_upstreams",
            "Upstreams that state a rate limit",
            self.limited_upstreams.clone(),
        );
        registry.register(
            "rejection_limited_upstreams",
            "Upstreams with a known limit on how many requests they may reject",
            self.rejection_limited_upstreams.clone(),
        );
        registry.register(
            "resting_upstreams",
            "Upstreams that have asked for rest that has not ended",
            self.resting_upstreams.clone(),
        );
        registry.register(
            "lost_paths",
            "Upstreams that this VM does not reach directly",
            self.lost_paths.clone(),
        );
        registry.register(
            "relayed_paths",
            "Upstreams of these that this VM reaches through another VM",
            self.relayed_paths.clone(),
        );
        registry.register(
            "relayed_connections",
            "Connections that this VM relays for others",
            self.relayed_connections.clone(),
        );
        registry.register(
            "relays",
            "Connections that other VMs wanted relayed, by what became of them",
            self.relays.clone(),
        );
        registry.register(
            "upstream_permits",
            "Permits for upstreams that state a rate limit, by what became of the request for one",
            self.permits.clone(),
        );
        registry.register(
            "limited_rejections",
            "Requests rejected by upstreams with a limit on rejections, by whether this VM knew the \
             limit at the send",
            self.limited_rejections.clone(),
        );
        registry.register(
            "rejected_checks",
            "Health checks that upstreams rejected, by whether they were known to have a limit on rejections",
            self.rejected_checks.clone(),
        );
        registry.register(
            "configuration_version",
            "Version of the configuration in force at this VM",
            self.configuration_version.clone(),
        );
        registry.register(
            "newest_configuration_version",
            "Newest version of the configuration that this VM knows to be in force at any VM",
            self.newest_configuration_version.clone(),
        );
        registry.register(
            "configuration_outdated_ms",
            "Time for which this VM has known of a newer configuration than its own",
            self.configuration_outdated_ms.clone(),
        );
        registry.register(
            "configuration_unconfirmed",
            "1 while nothing shows which configuration is in force",
            self.configuration_unconfirmed.clone(),
        );
        registry.register(
            "unconfirmed_starts",
            "Starts without evidence that the configuration is in force",
            self.unconfirmed_starts.clone(),
        );
        registry.register(
            "trials",
            "Trial runs of requests on probation by this VM",
            self.trials.clone(),
        );
        registry.register(
            "asked_keeper",
            "Requests that waited for the quota owner",
            self.waited_for_owner.clone(),
        );
        registry.register(
            "over_limit",
            "Requests refused because of their organisation's limit, by organisation",
            self.over_limit.clone(),
        );
        registry.register(
            "over_limit_by_rank",
            "Requests refused because of their organisation's limit, by rank, and whether they were given a turn",
            self.over_limit_by_rank.clone(),
        );
        registry.register(
            "rank_refusals",
            "Requests refused because the share of their rank was used up, by rank",
            self.rank_refusals.clone(),
        );
        registry.register(
            "lowest_rank_permille",
            "Lowest share of a rank that is admitted, in thousandths",
            self.lowest_rank_permille.clone(),
        );
        registry.register(
            "uneven_engines",
            "Engines whose lasting speed differs from the mean, as the lease holder announces them",
            self.uneven_engines.clone(),
        );
        registry.register(
            "first_answer_ms",
            "Time from arrival to the first part of the answer",
            self.first_answer_ms.clone(),
        );
        registry.register(
            "plan_ms",
            "Duration of one round of planning",
            self.plan_ms.clone(),
        );
        registry.register(
            "wait_ms",
            "Time from arrival to the first attempt",
            self.wait_ms.clone(),
        );
        registry.register(
            "active_requests",
            "Requests in progress",
            self.active.clone(),
        );
        registry.register(
            "caller_connections",
            "Callers' connections",
            self.callers.clone(),
        );
        registry.register(
            "outbound_connections",
            "Connections to upstreams and the store",
            self.outbound.clone(),
        );
        registry.register(
            "dropped_log_lines",
            "Log lines dropped by the rate limit",
            self.dropped_lines.clone(),
        );
    }
}
