mod common;

use common::*;
use ottersill_routing::interface::*;
use rstest::rstest;

use Role::{Primary, Replica};

/// The pointer, seen by where a write goes; news is (host, role, age of the position).
#[rstest]
#[case::one_claims(&[(1, Primary, 0.0)], Some(1))]
#[case::nobody_claims(&[(1, Replica, 0.0)], None)]
#[case::later_position_wins(&[(1, Primary, 0.2), (2, Primary, 0.1)], Some(2))]
#[case::older_claim_changes_nothing(&[(2, Primary, 0.1), (1, Primary, 0.2)], Some(2))]
#[case::steps_down(&[(1, Primary, 0.2), (1, Replica, 0.1)], None)]
#[case::late_news_of_a_replica_undoes_nothing(&[(1, Primary, 0.1), (1, Replica, 0.2)], Some(1))]
fn pointer_follows_news(#[case] news: &[(usize, Role, f64)], #[case] expected: Option<usize>) {
    let mut world = World::new(terms(true));
    for (host, role, age) in news {
        world.report(*host, *role, *age);
    }
    let write = world.ask(WRITE);
    assert_eq!(world.sent_to(write).first().copied(), expected);
}

#[rstest]
#[case::miss(AttemptOutcome::Miss, Some(Replica), false)]
#[case::lost_connection(AttemptOutcome::ConnectFailed, None, false)]
#[case::time_out(AttemptOutcome::TimedOut, None, false)]
#[case::completed(AttemptOutcome::Completed, Some(Primary), true)]
fn a_failed_write_takes_the_role_and_reopens_polling(
    #[case] ending: AttemptOutcome,
    #[case] role: Option<Role>,
    #[case] keeps: bool,
) {
    let mut world = World::settled(false, [0.0; 3]);
    let write = world.ask(WRITE);
    world.pass(0.3);
    world.book.0.clear();
    world.end(write, 0, ending, role);
    let next = world.ask(WRITE);
    assert_eq!(world.sent_to(next) == [0], keeps);
    world.pass(0.26);
    assert_eq!(world.count(Done::Probe(0)) > 0, !keeps, "{:?}", world.book.0);
}

/// Found on simulated days: a primary under load let single reads time out and lost its role each time.
#[test]
fn a_time_out_at_a_primary_that_answers_others_tells_of_load() {
    let mut world = World::settled(true, [0.0; 3]);
    let (slow, quick) = (world.ask(WRITE), world.ask(WRITE));
    world.pass(0.1);
    world.end(quick, 0, AttemptOutcome::Completed, Some(Primary));
    world.end(slow, 0, AttemptOutcome::TimedOut, None);
    let next = world.ask(WRITE);
    assert_eq!(world.sent_to(next), [0]);
}

#[rstest]
#[case::all_send_reports(true, 0)]
#[case::one_is_silent(false, 1)]
fn polling_stops_once_all_report(#[case] all: bool, #[case] least: usize) {
    let mut world = World::new(terms(false));
    (0..if all { 4 } else { 3 }).for_each(|host| {
        world.report(host, if host == 0 { Primary } else { Replica }, 0.0);
    });
    world.book.0.clear();
    world.pass(0.4);
    world.now += 0.8;
    (0..if all { 4 } else { 3 }).for_each(|host| {
        world.report(host, if host == 0 { Primary } else { Replica }, 0.0);
    });
    world.pass(0.1);
    assert!(world.count(Done::Probe(0)) >= least);
    assert!(all == (world.count(Done::Probe(0)) == 0));
}

/// Which member takes a read of data at most a second old.
#[rstest]
#[case::only_fresh_one(false, [2.0, 0.1, 3.0], &[2])]
#[case::none_fresh_most_advanced(true, [2.0, 1.5, 3.0], &[2])]
#[case::none_fresh_unchecked_waits_for_primary(false, [2.0, 1.5, 3.0], &[0])]
fn reads_go_to_fresh_members(#[case] checks: bool, #[case] lags: [f64; 3], #[case] expected: &[usize]) {
    let mut world = World::settled(checks, lags);
    let read = world.ask(READ);
    world.pass(0.06);
    assert_eq!(world.sent_to(read), expected);
}

#[test]
fn reads_spread_by_executions_in_flight() {
    let mut world = World::settled(false, [0.0; 3]);
    let mut hosts: Vec<usize> = (0..6).map(|_| world.ask(READ)).collect();
    hosts = hosts.into_iter().map(|stmt| world.sent_to(stmt)[0]).collect();
    hosts.sort_unstable();
    assert_eq!(hosts, [1, 1, 2, 2, 3, 3]);
}

#[rstest]
#[case::primary_appears(true)]
#[case::none_in_time(false)]
fn writes_wait_for_a_primary(#[case] appears: bool) {
    let mut world = World::new(terms(true));
    let write = world.ask(WRITE);
    world.pass(0.2);
    assert_eq!((world.sent_to(write).len(), world.count(Done::Reject(write))), (0, 0));
    if appears {
        world.report(2, Primary, 0.0);
    }
    world.pass(0.4);
    assert_eq!(world.sent_to(write).len(), usize::from(appears));
    assert_eq!(world.count(Done::Reject(write)), usize::from(!appears));
}

/// Rule: no effect twice, one final answer. Seen after one execution at the primary has ended.
#[rstest]
#[case::write_may_have_run(WRITE, AttemptOutcome::Error, 0.0, Some(Done::Abort(0)), 1)]
#[case::write_lost(WRITE, AttemptOutcome::Reset, 0.0, Some(Done::Abort(0)), 1)]
#[case::write_turned_away(WRITE, AttemptOutcome::Miss, 0.0, None, 2)]
#[case::marked_in_its_window(MARKED, AttemptOutcome::Error, 0.0, None, 2)]
#[case::marked_after_its_window(MARKED, AttemptOutcome::Error, 0.51, Some(Done::Abort(0)), 1)]
#[case::read_may_run_again(READ, AttemptOutcome::Error, 0.0, None, 2)]
fn effects_are_not_repeated(
    #[case] workload: usize,
    #[case] ending: AttemptOutcome,
    #[case] after: f64,
    #[case] last: Option<Done>,
    #[case] executions: usize,
) {
    let mut world = World::settled(true, [0.0; 3]);
    let stmt = world.ask_with(workload, 2.0);
    let host = world.sent_to(stmt)[0];
    world.now += after;
    world.end(stmt, host, ending, None);
    world.report(0, Primary, -0.01);
    world.now += 0.1;
    world.report(0, Primary, 0.0);
    if last.is_some() {
        world.pass(2.0);
    }
    assert_eq!(world.sent_to(stmt).len(), executions);
    let finals = world.count(Done::Abort(stmt)) + world.count(Done::Reject(stmt));
    assert_eq!((finals, last.is_none_or(|done| world.count(done) == 1)), (usize::from(last.is_some()), true));
}

#[rstest]
#[case::draining(EndpointState::Draining, false, false)]
#[case::gone(EndpointState::Removed, false, false)]
#[case::gone_does_not_bind(EndpointState::Removed, true, true)]
#[case::draining_binds_anyway(EndpointState::Draining, true, false)]
fn drains_are_kept(#[case] standing: EndpointState, #[case] only_draining_bars: bool, #[case] still: bool) {
    let mut world = World::new(RoutingConfig { only_draining_bars, ..terms(false) });
    world.report(0, Primary, 0.0);
    world.report(1, Replica, 0.0);
    world.list(1, standing, None);
    let read = world.ask(READ);
    assert_eq!(world.sent_to(read) == [1], still);
}

/// Rules 2, 3 and 5 hold when an execution goes out, which may be some time after it was chosen.
#[rstest]
#[case::at_once(READ, false, 0.0, None, true)]
#[case::drains(READ, false, 0.0, Some(EndpointState::Draining), false)]
#[case::is_gone(READ, false, 0.0, Some(EndpointState::Removed), false)]
#[case::data_too_old(READ, false, 1.1, None, false)]
#[case::data_too_old_where_members_check(READ, true, 1.1, None, true)]
#[case::any_data(REPORT, false, 1.1, None, true)]
#[case::repeat_in_its_window(MARKED, false, 0.4, None, true)]
#[case::repeat_after_its_window(MARKED, false, 0.6, None, false)]
fn what_was_chosen_goes_out_by_the_rules_of_then(
    #[case] workload: usize,
    #[case] checks: bool,
    #[case] later: f64,
    #[case] told: Option<EndpointState>,
    #[case] may: bool,
) {
    let mut world = World::settled(checks, [0.0; 3]);
    let stmt = world.ask_with(workload, 2.0);
    let mut host = world.sent_to(stmt)[0];
    if workload == MARKED {
        // It may have run once, and is on its way again.
        world.end(stmt, host, AttemptOutcome::Error, Some(Primary));
        host = world.sent_to(stmt)[1];
    }
    told.into_iter().for_each(|standing| world.list(host, standing, None));
    world.now += later;
    assert_eq!(world.router.may_begin(world.now, stmt, host), may);
    assert_eq!(world.router.may_probe(host), told.is_none());
}

/// What happens between a session's write and its read.
#[derive(Clone, Copy, Debug)]
enum Between {
    /// The write's answer tells its commit, so long ago.
    Told(f64),
    /// The answer broke off behind its row: the commit is not told.
    Untold,
    /// No answer at all; it may have run.
    Lost,
    /// Its answer has not come, or half of it.
    Out,
    /// It never ran.
    TurnedAway,
    /// Two writes, of which the earlier one is answered last.
    Overtaken,
    /// All members have it, then another one joins from an older copy.
    Joined,
    /// Ten thousand other sessions write too, and one replica never comes up to them.
    Crowded,
}

/// Rule: no stale read. A session sees what it has written through this router, where hosts answer from whatever they have. Seen
/// on short days of a made-up customer: the write was served from a connection that broke off behind the row, its commit came
/// behind that, and the session's next read went to a replica a second behind.
#[rstest]
#[case::seen(Between::Told(2.0), true)]
#[case::not_yet(Between::Told(0.5), false)]
#[case::untold(Between::Untold, false)]
#[case::lost(Between::Lost, false)]
#[case::out(Between::Out, false)]
#[case::turned_away(Between::TurnedAway, true)]
#[case::overtaken(Between::Overtaken, false)]
#[case::joined(Between::Joined, false)]
#[case::crowded(Between::Crowded, false)]
fn a_session_sees_its_own_writes(#[case] between: Between, #[case] taken: bool) {
    let mut all = RoutingConfig { remembers_writes: true, ..terms(false) };
    all.workloads[READ].needs = Consistency::Session;
    let mut world = World::new(all);
    world.report(0, Primary, 0.0);
    // One replica, which lags by a second.
    world.list(2, EndpointState::Removed, None);
    world.list(3, EndpointState::Removed, None);
    world.report(1, Replica, 1.0);
    let ask = |world: &mut World, workload, session| {
        world.ask_for(Request { session: Some(session), ..statement(workload, 2.0) })
    };
    let ended = |world: &mut World, write, ending, lsn| {
        let note = LoadReport { role: Some(Primary), lsn, busy: None };
        let closed = ending == AttemptOutcome::Completed;
        let outcome = AttemptResult { stmt: write, host: 0, ending, took: 0.05, closed, note, report: None };
        world.router.on_attempt_result(world.now, &outcome, &mut world.book);
    };
    let write = ask(&mut world, MARKED, 77);
    assert_eq!(world.sent_to(write), [0]);
    let now = world.now;
    match between {
        Between::Told(ago) => ended(&mut world, write, AttemptOutcome::Completed, Some(now - ago)),
        Between::Untold => ended(&mut world, write, AttemptOutcome::Completed, None),
        Between::Lost => ended(&mut world, write, AttemptOutcome::Error, None),
        Between::Out => {}
        Between::TurnedAway => {
            // With its client gone it is not tried again.
            world.router.on_client_gone(write);
            ended(&mut world, write, AttemptOutcome::Full, None);
        }
        Between::Overtaken => {
            let later = ask(&mut world, MARKED, 77);
            ended(&mut world, later, AttemptOutcome::Completed, Some(now - 0.5));
            ended(&mut world, write, AttemptOutcome::Completed, Some(now - 1.5));
        }
        Between::Joined => {
            ended(&mut world, write, AttemptOutcome::Completed, Some(now));
            world.now += 0.1;
            (1..4).for_each(|host| world.report(host, Replica, 0.0));
            world.pass(0.1);
            world.list(1, EndpointState::Removed, None);
            world.list(4, EndpointState::Ready, None);
            world.report(4, Replica, 1.5);
        }
        Between::Crowded => {
            ended(&mut world, write, AttemptOutcome::Completed, Some(now));
            for session in 0..10_001 {
                let other = ask(&mut world, MARKED, 1000 + session);
                ended(&mut world, other, AttemptOutcome::Completed, Some(now));
            }
            world.pass(0.04);
        }
    }
    let read = ask(&mut world, READ, 77);
    let replica = if matches!(between, Between::Joined) { 4 } else { 1 };
    world.pass(0.02);
    assert_eq!(world.sent_to(read).contains(&replica), taken, "{:?}", world.sent_to(read));
    // A read of data from a second ago is another matter.
    assert!(world.sent_to(read).iter().all(|host| *host == replica || *host == 0));
}

/// A probe that this router had no descriptor for was taken for one that was answered, and cleared its member.
#[rstest]
#[case::never_sent(AttemptOutcome::NeverSent, false)]
#[case::answered(AttemptOutcome::Completed, true)]
fn a_probe_that_was_not_sent_clears_nobody(#[case] ending: AttemptOutcome, #[case] clears: bool) {
    let mut world = World::settled(true, [0.0, 9.0, 9.0]);
    let lost = world.ask(READ);
    world.now += 1.0;
    world.end(lost, 1, AttemptOutcome::ConnectFailed, None);
    world.pass(1.2);
    world.book.0.clear();
    world.router.on_health_check(
        world.now,
        1,
        ending,
        LoadReport { lsn: Some(world.now), ..LoadReport::default() },
        &mut world.book,
    );
    let read = world.ask(READ);
    assert_eq!(world.sent_to(read) == [1], clears);
}

/// Rule: a cold host is not pushed over; its part of what warm members get, and no more.
#[rstest]
#[case::just_started(0.0, 0.3)]
#[case::half_way(5.0, 0.8)]
fn cold_hosts_get_their_part(#[case] age: f64, #[case] most: f64) {
    let mut world = World::settled(true, [0.0; 3]);
    world.list(1, EndpointState::Ready, Some(world.now - age));
    let mut sent = [0; 4];
    for _ in 0..200 {
        let read = world.ask(READ);
        world.pass(0.01);
        for host in world.sent_to(read) {
            sent[host] += 1;
            world.end(read, host, AttemptOutcome::Completed, None);
        }
        if read % 20 == 0 {
            (1..4).for_each(|host| world.report(host, Replica, 0.0));
        }
    }
    let part = f64::from(sent[1]) / f64::from(sent[2].max(sent[3]));
    assert!(part > 0.0 && part < most, "{sent:?}");
}

/// Rule: no stale read. Reads of a second at most, from members that do not check.
#[rstest]
#[case(0.9, true)]
#[case(1.1, false)]
fn no_read_from_old_data(#[case] lag: f64, #[case] taken: bool) {
    let mut world = World::settled(false, [lag; 3]);
    world.list(0, EndpointState::Removed, None);
    let read = world.ask(READ);
    world.pass(0.08);
    assert_eq!(!world.sent_to(read).is_empty(), taken);
}

/// Rule: every statement gets one final answer before its client's time is up, also where nothing can be sent.
#[rstest]
#[case(READ, 0.75)]
#[case(REPORT, 6.0)]
#[case(WRITE, 0.4)]
#[case(MARKED, 2.0)]
fn nothing_is_lost(#[case] workload: usize, #[case] time_left: f64) {
    let mut world = World::settled(false, [5.0; 3]);
    (0..4).for_each(|host| world.list(host, EndpointState::Removed, None));
    let stmt = world.ask_with(workload, time_left);
    world.pass(time_left);
    assert_eq!((world.count(Done::Reject(stmt)), world.sent_to(stmt).len()), (1, 0));
}

/// Found in an incident: long reads spread evenly stopped the log on every replica.
#[test]
fn long_reads_stay_together_on_the_member_furthest_behind() {
    let mut world = World::settled(true, [0.0, 0.4, 0.1]);
    let reports: Vec<usize> = (0..4).map(|_| world.ask(REPORT)).collect();
    assert!(reports.into_iter().all(|report| world.sent_to(report) == [2]));
}

/// Found in the first incidents: a hung member answers probes, so only executions tell of it.
#[test]
fn a_hung_member_is_left_out_and_its_reads_go_elsewhere() {
    let mut world = World::settled(true, [0.0, 9.0, 9.0]);
    let reads: Vec<usize> = (0..4).map(|_| world.ask_with(READ, 0.75)).collect();
    assert!(reads.iter().all(|read| world.sent_to(*read) == [1]));
    for _ in 0..10 {
        world.pass(0.02);
        (1..4).for_each(|host| world.report(host, Replica, 0.0));
    }
    assert_eq!(world.count(Done::Cancel(reads[0])), 1);
    world.end(reads[0], 1, AttemptOutcome::Cancelled, None);
    assert_ne!(world.sent_to(reads[0])[1], 1);
    let next = world.ask(READ);
    assert_ne!(world.sent_to(next), [1]);
}

/// Found on overloaded days: with the log applied slowly all replicas fell behind for good.
#[rstest]
#[case::replicas_behind([3.0; 3], true)]
#[case::replicas_fresh([0.0; 3], false)]
fn writes_are_held_back_while_lagging_costs_reads(#[case] lags: [f64; 3], #[case] held_back: bool) {
    let mut world = World::settled(true, lags);
    let mut rejected = 0;
    for round in 0..400 {
        world.pass(0.02);
        (0..3).for_each(|_| {
            world.ask(READ);
        });
        if round % 4 == 0 {
            let write = world.ask(WRITE);
            rejected += world.count(Done::Reject(write));
            for host in world.sent_to(write) {
                world.end(write, host, AttemptOutcome::Completed, Some(Primary));
            }
        }
        if round % 10 == 0 {
            world.report(0, Primary, 0.0);
            (1..4).for_each(|host| world.report(host, Replica, lags[host - 1]));
        }
    }
    assert_eq!(rejected > 20, held_back, "{rejected}");
}

/// Found on overloaded days: a repeat carries another time than first tries. And in an incident: so do first tries
/// of clients in a hurry, which are not to be taken for late ones.
#[rstest]
#[case::usual(0.53, 3, false)]
#[case::repeat_after_failures(0.4, 3, true)]
#[case::hurried_first_try(0.15, 0, false)]
fn late_tries_are_told_by_their_time(#[case] time_left: f64, #[case] failed: usize, #[case] late: bool) {
    let mut world = World::new(terms(true));
    let earlier: Vec<usize> = (0..9).map(|_| world.ask_with(READ, 0.53)).collect();
    earlier.iter().take(failed).for_each(|stmt| world.router.on_client_gone(*stmt));
    let read = world.ask_with(READ, time_left);
    assert_eq!(world.count(Done::Reject(read)), usize::from(late));
}

/// Found in an incident: each read tried the most advanced replica for itself, waited there and came late.
#[test]
fn a_member_that_turned_a_read_away_is_asked_again_once_it_tells_its_position() {
    let mut world = World::settled(true, [1.5, 2.0, 2.0]);
    let first = world.ask(READ);
    world.end(first, 1, AttemptOutcome::Miss, Some(Replica));
    let second = world.ask(READ);
    assert_ne!(world.sent_to(second), [1]);
    world.report(1, Replica, 1.4);
    let third = world.ask(READ);
    assert_eq!(world.sent_to(third), [1]);
}

/// Found in an incident: a router that had stalled took every member for silent, then for cold, and sent nothing.
#[rstest]
#[case::router_stalled(0.8, 0.0, true)]
#[case::member_silent(0.0, 0.8, false)]
fn a_stall_of_the_router_tells_nothing_of_members(
    #[case] stall: f64,
    #[case] wait: f64,
    #[case] trusted: bool,
) {
    let mut world = World::settled(true, [0.0, 9.0, 9.0]);
    let reads: Vec<usize> = (0..4).map(|_| world.ask_with(READ, 0.75)).collect();
    assert!(reads.iter().all(|read| world.sent_to(*read) == [1]));
    world.now += stall;
    world.pass(wait + 0.02);
    world.end(reads[0], 1, AttemptOutcome::TimedOut, None);
    world.report(1, Replica, 0.0);
    let next = world.ask(READ);
    assert_eq!(world.sent_to(next) == [1], trusted);
}

/// Found in an incident: with every member cold there was no warm one to measure by, and nothing was sent.
#[test]
fn a_group_that_is_all_cold_still_gets_its_part() {
    let mut world = World::settled(true, [0.0; 3]);
    for round in 0..500 {
        if round == 200 {
            (0..4).for_each(|host| world.list(host, EndpointState::Ready, Some(world.now)));
            world.book.0.clear();
        }
        world.pass(0.02);
        (1..4).for_each(|host| world.report(host, Replica, 0.0));
        let read = world.ask(READ);
        for host in world.sent_to(read) {
            world.end(read, host, AttemptOutcome::Completed, None);
        }
    }
    let sent = (0..500).map(|stmt| world.sent_to(stmt).len()).sum::<usize>();
    assert!((5..100).contains(&sent), "{sent}");
}

/// Found by a hunt for broken rules (walsall-orders, h6fd598): a cold primary that failed at once got each statement up to
/// six times by the one lot that let it through, 3.0 times what it could do, and fell over.
#[rstest]
#[case::writes_that_fail(MARKED, 0, AttemptOutcome::Error)]
#[case::reads_turned_away(READ, 1, AttemptOutcome::Miss)]
#[case::reads_that_find_it_full(READ, 1, AttemptOutcome::Full)]
#[case::connections_refused(READ, 1, AttemptOutcome::ConnectFailed)]
fn a_cold_host_gets_no_statement_twice(
    #[case] workload: usize,
    #[case] host: usize,
    #[case] ending: AttemptOutcome,
) {
    let mut world = World::settled(true, [0.0; 3]);
    (0..4).for_each(|host| world.list(host, EndpointState::Ready, Some(world.now - 8.0)));
    let (mut sent, mut most) = (0, 0);
    for _ in 0..100 {
        world.pass(0.02);
        let stmt = world.ask(workload);
        for _ in 0..8 {
            let executions = world.sent_to(stmt);
            let Some(last) = executions.last() else { break };
            world.end(stmt, *last, ending, None);
            // Word of its role and its position comes at once, as from a probe.
            world.report(host, if host == 0 { Primary } else { Replica }, 0.0);
            if world.sent_to(stmt).len() == executions.len() {
                break;
            }
        }
        let executions = world.sent_to(stmt);
        sent += executions.iter().filter(|at| **at == host).count();
        most = most.max(executions.windows(2).filter(|two| two[0] == two[1]).count());
    }
    assert!(sent > 0 && most == 0, "{sent} executions, {most} in a row of one statement");
}

/// Found at the first look at a deployment whose hosts answer reads from whatever they have (suva-members): a router that
/// hears of each replica once in some seconds held none for fresh enough, and sent all reads to the primary.
#[rstest]
#[case::fresh(Some(0.1), &[1, 2, 3])]
#[case::it_lags(Some(1.5), &[0])]
#[case::no_answer(None, &[0])]
fn a_read_that_waits_asks_a_replica(#[case] lag: Option<f64>, #[case] expected: &[usize]) {
    let mut world = World::settled(false, [0.0; 3]);
    // The credit for probes is spent, none is out, and what was heard is too old.
    for _ in 0..100 {
        world.pass(0.02);
        for done in std::mem::take(&mut world.book.0) {
            if let Done::Probe(host) = done {
                world.router.on_health_check(
                    world.now,
                    host,
                    AttemptOutcome::Full,
                    LoadReport::default(),
                    &mut world.book,
                );
            }
        }
    }
    world.pass(0.3);
    world.book.0.clear();
    let read = world.ask(READ);
    assert_eq!(world.sent_to(read), []);
    for _ in 0..4 {
        let probed: Vec<usize> = (1..4).filter(|host| world.count(Done::Probe(*host)) > 0).collect();
        assert!(world.count(Done::Probe(0)) == 0, "the primary is fresh by itself");
        if let Some(lag) = lag {
            probed.iter().for_each(|host| world.report(*host, Replica, lag));
        }
        world.pass(0.02);
    }
    let sent = world.sent_to(read);
    assert!(sent.len() == 1 && expected.contains(&sent[0]), "{sent:?}");
}

/// Found at full size: hundreds of routers probed each host every second, seven probes for each statement.
#[rstest]
#[case::nothing_asked(0, 4)]
#[case::some_reads(20, 9)]
fn probes_follow_statements(#[case] reads: usize, #[case] most: usize) {
    let mut world = World::new(RoutingConfig { reports: ReportSource::WithProbes, ..terms(true) });
    for round in 0..500 {
        world.pass(0.02);
        let probed: Vec<usize> = (0..4).filter(|host| world.count(Done::Probe(*host)) > 0).collect();
        probed
            .into_iter()
            .for_each(|host| world.report(host, if host == 0 { Primary } else { Replica }, 0.0));
        if reads > 0 && round % (500 / reads) == 0 {
            let read = world.ask(READ);
            world
                .sent_to(read)
                .into_iter()
                .for_each(|host| world.end(read, host, AttemptOutcome::Completed, None));
        }
    }
    let probes = (0..4).map(|host| world.count(Done::Probe(host))).sum::<usize>();
    assert!((4..=most).contains(&probes), "{probes}");
}

/// Found at full size: a connect that failed, or an answer that was lost, was taken for a restart, and the
/// member was eased in as cold. Only a probe that is not answered tells of an absence.
#[rstest]
#[case::refused_under_a_cap(AttemptOutcome::ConnectFailed, AttemptOutcome::Completed, true)]
#[case::answer_reset(AttemptOutcome::Reset, AttemptOutcome::Full, true)]
#[case::away(AttemptOutcome::ConnectFailed, AttemptOutcome::TimedOut, false)]
fn only_absence_makes_a_member_cold(
    #[case] ending: AttemptOutcome,
    #[case] probe: AttemptOutcome,
    #[case] warm: bool,
) {
    let mut world = World::settled(true, [0.0, 9.0, 9.0]);
    let read = world.ask(READ);
    world.end(read, 1, ending, None);
    world.router.on_health_check(world.now, 1, probe, LoadReport::default(), &mut world.book);
    world.report(1, Replica, 0.0);
    let sent = (0..40).filter(|_| {
        let read = world.ask(READ);
        let there = world.sent_to(read) == [1];
        world
            .sent_to(read)
            .into_iter()
            .for_each(|host| world.end(read, host, AttemptOutcome::Completed, None));
        there
    });
    assert_eq!(sent.count() > 30, warm);
}

/// Found at full size: one lost answer made a member a suspect, though it answered everything else.
#[rstest]
#[case::one_lost(1, true)]
#[case::all_silent(3, false)]
fn one_lost_answer_is_no_silence(#[case] lost: usize, #[case] trusted: bool) {
    let mut world = World::settled(true, [0.0, 9.0, 9.0]);
    (0..lost).for_each(|_| assert_eq!([1], *world.ask_and_place(READ)));
    world.pass(0.5);
    assert_eq!(world.ask_and_place(READ) == [1], trusted);
}

/// Found at full size: a limit of one at each of hundreds of routers is hundreds for a host. And with a list
/// that names hosts which do not exist: a member never heard of gets nothing.
#[rstest]
#[case::always_full(Some(AttemptOutcome::Full), 2..30)]
#[case::quick(Some(AttemptOutcome::Completed), 40..41)]
#[case::never_heard(None, 0..1)]
fn a_host_gets_what_it_can_take(
    #[case] ending: Option<AttemptOutcome>,
    #[case] expected: std::ops::Range<usize>,
) {
    let mut world = World::new(RoutingConfig { routers: 200, ..terms(true) });
    if ending.is_some() {
        world.report(1, Replica, 0.0);
    }
    let mut sent = 0;
    for _ in 0..40 {
        let read = world.ask_with(READ, 0.1);
        let mut ended = 0;
        while let (Some(ending), true) = (ending, ended < world.sent_to(read).len()) {
            world.end(read, 1, ending, None);
            ended += 1;
        }
        sent += ended;
        world.router.on_client_gone(read);
        world.pass(0.5);
    }
    assert!(expected.contains(&sent), "{sent}");
}

/// Found with squeezed connections: one that was refused made a suspect of a member that answers others.
#[rstest]
#[case::answered_lately(0.1, true)]
#[case::answered_long_ago(2.0, false)]
fn a_refused_connection_weighs_little_against_an_answer(#[case] since: f64, #[case] trusted: bool) {
    let mut world = World::settled(true, [0.0, 9.0, 9.0]);
    for (wait, ending) in [(since, AttemptOutcome::Completed), (0.0, AttemptOutcome::ConnectFailed)] {
        let read = world.ask(READ);
        world.end(read, 1, ending, None);
        world.now += wait;
    }
    assert_eq!(world.ask_and_place(READ) == [1], trusted);
}

/// How many of so many statements, asked at once, go to that host before they wait.
fn held_at(world: &mut World, workload: usize, host: usize) -> usize {
    let asked: Vec<usize> = (0..60).map(|_| world.ask(workload)).collect();
    asked.iter().filter(|stmt| world.sent_to(**stmt) == [host]).count()
}

/// Found on a day with lagging replicas: reads fill half of the primary's limit, which grew only where it was full.
#[test]
fn a_primary_that_answers_reads_quickly_is_lent_more_of_them() {
    let mut world = World::settled(true, [0.0; 3]);
    (1..4).for_each(|host| world.list(host, EndpointState::Draining, None));
    let mut asked = Vec::new();
    for round in 0..160 {
        let more = if round < 150 { 12 } else { 0 };
        asked.extend((0..more).map(|_| world.ask(READ)));
        world.pass(0.02);
        // What waits is sent as others end, or given up.
        let (out, waits): (Vec<usize>, Vec<usize>) =
            asked.into_iter().partition(|stmt| world.sent_to(*stmt) == [0]);
        out.into_iter().for_each(|stmt| world.end(stmt, 0, AttemptOutcome::Completed, Some(Primary)));
        asked = waits;
    }
    let held = held_at(&mut world, READ, 0);
    assert!(held > 12, "{held}");
}

/// Found on a day with replaced hosts: long statements that timed out one after another closed members that answered
/// all others in a tenth of their SLO time; a member that answers nothing is still closed.
#[rstest]
#[case::answers_others(true, 3)]
#[case::answers_nothing(false, 0)]
fn time_outs_close_a_member_only_if_it_answers_nothing(#[case] answers: bool, #[case] least: usize) {
    let mut world = World::settled(true, [0.0; 3]);
    (0..3).for_each(|host| world.list(host, EndpointState::Draining, None));
    for _ in 0..30 {
        let (long, quick) = (world.ask(READ), world.ask(READ));
        world.pass(0.1);
        if answers {
            world.end(quick, 3, AttemptOutcome::Completed, Some(Replica));
        }
        world.pass(0.7);
        for stmt in [long].into_iter().chain((!answers).then_some(quick)) {
            if world.sent_to(stmt) == [3] {
                world.end(stmt, 3, AttemptOutcome::TimedOut, None);
            }
        }
    }
    let held = held_at(&mut world, READ, 3);
    assert!(if answers { held >= least } else { held == least }, "{held}");
}

/// Given up after half of its time, a statement that was never sent costs more than one that is told in time; one that
/// has been sent, and proved not to have run, may wait on.
#[rstest]
#[case::never_sent(false, 1)]
#[case::sent_once(true, 0)]
fn what_was_never_sent_is_given_up_before_half_its_time(#[case] sent: bool, #[case] rejected: usize) {
    let mut terms = terms(false);
    // It earns a part after its SLO time, so there is a point in waiting on.
    terms.workloads[WRITE].late_share = 0.3;
    let mut world = World::new(terms);
    world.report(0, Primary, 0.0);
    if !sent {
        world.list(0, EndpointState::Draining, None);
    }
    let write = world.ask(WRITE);
    if sent {
        world.list(0, EndpointState::Draining, None);
        world.end(write, 0, AttemptOutcome::ConnectFailed, None);
    }
    world.pass(0.9);
    assert_eq!(world.count(Done::Reject(write)), 0);
    world.pass(0.1);
    assert_eq!(world.count(Done::Reject(write)), rejected);
}

/// A text that may write, sent under the name of a read: the primary alone, and never again.
#[rstest]
#[case::answered_with_an_error(AttemptOutcome::Error, Done::Abort(0))]
#[case::lost(AttemptOutcome::Reset, Done::Abort(0))]
fn a_text_that_may_write_goes_by_stricter_terms(#[case] ending: AttemptOutcome, #[case] last: Done) {
    let mut world = World::settled(true, [0.0; 3]);
    let stmt = world.ask_for(Request { writes: true, ..statement(READ, 0.75) });
    assert_eq!(world.sent_to(stmt), [0]);
    world.end(stmt, 0, ending, None);
    world.pass(0.3);
    assert_eq!((world.sent_to(stmt).len(), world.count(last)), (1, 1));
    let read = world.ask(READ);
    assert_ne!(world.sent_to(read), [0]);
}

/// Found by thought: one client's `SELECT` that writes took a replica from everybody's reads.
#[test]
fn a_read_that_turns_out_to_write_takes_no_member_away() {
    let mut world = World::settled(true, [0.0; 3]);
    for _ in 0..6 {
        let stmt = world.ask(READ);
        let host = world.sent_to(stmt)[0];
        assert_ne!(host, 0, "{:?}", world.book.0);
        world.end(stmt, host, AttemptOutcome::ReadOnly, Some(Replica));
        assert_eq!(world.sent_to(stmt), [host, 0]);
        world.end(stmt, 0, AttemptOutcome::Error, None);
        assert_eq!((world.count(Done::Abort(stmt)), world.sent_to(stmt).len()), (1, 2));
    }
    let reads: Vec<usize> = (0..6).flat_map(|_| world.ask_and_place(READ)).collect();
    assert!((1..4).all(|host| reads.contains(&host)), "{reads:?}");
}

/// A primary that calls itself one in the answer refused the text, not the role.
#[rstest]
#[case::still_the_primary(Some(Primary), true)]
#[case::a_replica_by_now(Some(Replica), false)]
#[case::says_nothing(None, false)]
fn a_text_that_the_primary_refuses_costs_it_no_role(#[case] role: Option<Role>, #[case] keeps: bool) {
    let mut world = World::settled(true, [0.0; 3]);
    let stmt = world.ask_for(Request { writes: true, ..statement(READ, 0.75) });
    world.end(stmt, 0, AttemptOutcome::ReadOnly, role);
    let write = world.ask(WRITE);
    assert_eq!(world.sent_to(write) == [0], keeps);
}

fn work(own: f64, usual: f64, spread: f64) -> Option<WorkEstimate> {
    Some(WorkEstimate { own, usual, spread })
}

/// Whether a statement of a shape with that much work is still worth a try with so little time left.
#[rstest]
#[case::usual(READ, None, 0.1, true)]
#[case::heavy(READ, work(0.25, 0.05, 0.1), 0.1, false)]
#[case::heavy_with_time(READ, work(0.25, 0.05, 0.1), 0.7, true)]
#[case::heavy_as_far_as_two_tell(READ, work(0.25, 0.05, 0.75), 0.1, true)]
#[case::light(REPORT, work(0.05, 0.5, 0.1), 0.2, true)]
#[case::usual_without_time(REPORT, None, 0.2, false)]
fn a_shape_s_work_tells_whether_it_can_be_in_time(
    #[case] workload: usize,
    #[case] work: Option<WorkEstimate>,
    #[case] left: f64,
    #[case] tried: bool,
) {
    let mut world = World::settled(true, [0.0; 3]);
    let stmt = world.ask_for(Request { work, ..statement(workload, left) });
    assert_eq!(!world.sent_to(stmt).is_empty(), tried, "{:?}", world.book.0);
}

/// Where all members are full, the cheap one goes out before the dear one that came later.
#[test]
fn what_waits_goes_out_by_its_own_work() {
    let mut world = World::settled(true, [0.0; 3]);
    let all: Vec<usize> = (0..200).map(|_| world.ask(READ)).collect();
    let full: Vec<usize> = all.into_iter().filter(|stmt| !world.sent_to(*stmt).is_empty()).collect();
    let light = world.ask_for(Request { work: work(0.005, 0.05, 0.05), ..statement(READ, 0.75) });
    let heavy = world.ask_for(Request { work: work(0.15, 0.05, 0.05), ..statement(READ, 0.75) });
    assert!(world.sent_to(light).is_empty() && world.sent_to(heavy).is_empty());
    for stmt in full {
        world.end(stmt, world.sent_to(stmt)[0], AttemptOutcome::Completed, None);
        if !world.sent_to(light).is_empty() {
            break;
        }
    }
    assert!(world.sent_to(heavy).is_empty(), "the dear one went first");
}

/// A hundred heavy statements of a mixed workload make no member look crowded.
#[rstest]
#[case::known(work(0.29, 0.05, 0.02), true)]
#[case::unknown(None, false)]
fn heavy_shapes_close_no_member(#[case] work: Option<WorkEstimate>, #[case] open: bool) {
    let mut world = World::settled(true, [0.0; 3]);
    for _ in 0..100 {
        let stmt = world.ask_for(Request { work, ..statement(READ, 0.75) });
        let Some(host) = world.sent_to(stmt).first().copied() else { continue };
        let note = LoadReport::default();
        let outcome = AttemptResult {
            stmt,
            host,
            ending: AttemptOutcome::Completed,
            took: 0.29,
            closed: true,
            note,
            report: None,
        };
        world.router.on_attempt_result(world.now, &outcome, &mut world.book);
        world.pass(0.04);
    }
    let placed = (0..50).filter(|_| !world.ask_and_place(READ).is_empty()).count();
    assert_eq!(placed == 50, open, "{placed} of 50 reads were placed");
}
