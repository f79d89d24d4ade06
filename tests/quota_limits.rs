//! Limits of workspaces, decided without sockets: one limiter, who it is, and the other way.

use std::time::Duration;

use merlinsaddle::core::ids::WorkspaceId;
use merlinsaddle::core::quotas::{
    BucketParams, LimiterParams, LimiterRegistry, LimiterRequest, LimiterRole, LimiterStatus,
    QuotaBounds, QuotaLimit, QuotaMember, QuotaReply, QuotaRequest, QuotaShare, QuotaView,
    TokenBucket, WorkspaceLimiter,
};
use merlinsaddle::core::workspaces::owned_name;
use rstest::rstest;
use tokio::time::{Instant, advance};

const BOUNDS: QuotaBounds = QuotaBounds { window: Duration::from_secs(5), over: 0.1, slack: 20.0 };
const STRICT: QuotaBounds = QuotaBounds { window: Duration::from_secs(5), over: 0.0, slack: 0.0 };
const PRIMARY: LimiterRole = LimiterRole::Primary { share: 1.0 };
const CALL: QuotaRequest = QuotaRequest { is_first: false };
const FIRST: QuotaRequest = QuotaRequest { is_first: true };

fn limiter_params(rate: f64, burst: f64, bounds: QuotaBounds) -> LimiterParams {
    LimiterParams { quota: QuotaLimit { rate, burst }, bounds, role: PRIMARY }
}

fn is_granted(reply: QuotaReply) -> bool {
    matches!(reply, QuotaReply::Granted { .. })
}

#[tokio::test(start_paused = true)]
async fn a_bucket_fills_at_its_rate_and_no_further() {
    let params = BucketParams { rate: 10.0, capacity: 5.0 };
    let mut bucket = TokenBucket::new(0.0, Instant::now());
    assert_eq!(bucket.take(1.0, params, Duration::ZERO), None);
    assert_eq!(bucket.wait(1.0, params), Duration::from_millis(100));
    advance(Duration::from_secs(60)).await;
    bucket.refill(params, Instant::now());
    assert_eq!(bucket.level(), 5.0);
    // A lower limit cuts what is there; a higher one fills nothing up.
    bucket.refill(BucketParams { rate: 10.0, capacity: 2.0 }, Instant::now());
    bucket.refill(BucketParams { rate: 10.0, capacity: 9.0 }, Instant::now());
    assert_eq!(bucket.level(), 2.0);
}

/// A workspace sends ten times its limit for a minute. In no window does it get more than the limit
/// allows there, and it gets nearly all of that.
#[tokio::test(start_paused = true)]
async fn a_flood_gets_the_limit_and_no_more() {
    let params = limiter_params(20.0, 20.0, STRICT);
    let mut limiter = WorkspaceLimiter::new(Instant::now(), params, Instant::now());
    let begun = Instant::now();
    let mut runs: Vec<Duration> = Vec::new();
    while begun.elapsed() < Duration::from_secs(60) {
        if let QuotaReply::Granted { after } = limiter.decide(CALL, params, true, Instant::now()) {
            runs.push(begun.elapsed() + after);
        }
        advance(Duration::from_millis(5)).await;
    }
    let most = |from: &Duration| {
        runs.iter().filter(|at| *at >= from && **at < *from + Duration::from_secs(5)).count()
    };
    let worst = runs.iter().map(most).max().unwrap_or(0);
    assert!(worst <= 121, "{worst} in a window");
    assert!(runs.len() >= 1_190, "{} in a minute", runs.len());
}

/// Refused callers are told to come back one after another, at the pace at which there is room.
#[tokio::test(start_paused = true)]
async fn refused_requests_come_back_one_by_one() {
    let params = limiter_params(10.0, 10.0, STRICT);
    let now = Instant::now();
    let mut limiter = WorkspaceLimiter::new(now, params, now);
    let mut returns = Vec::new();
    for _ in 0..8 {
        if let QuotaReply::Refused { retry_after } = limiter.decide(CALL, params, true, now) {
            returns.push(retry_after.as_millis());
        }
    }
    // Two wait for their place here; the others come back 0.1 s apart.
    assert_eq!(returns, [300, 400, 500, 600, 700, 800]);
}

/// Programs come that need twice the limit. Let in by what they need, those that begin nearly all end, also
/// when they need far more requests than was assumed and the first ones are refused calls for that; refused
/// call by call, a third and more are stopped in their midst, and what they had is wasted.
#[rstest]
#[case::by_program(12, true, 0.9, 1.0)]
#[case::of_many_requests(40, true, 0.9, 1.0)]
#[case::by_call(12, false, 0.0, 0.7)]
#[tokio::test(start_paused = true)]
async fn programs_that_begin_can_end(
    #[case] requests: u32,
    #[case] by_program: bool,
    #[case] least: f64,
    #[case] most: f64,
) {
    let rate = 2.0 * f64::from(requests);
    let params = limiter_params(rate, rate, STRICT);
    let mut limiter = WorkspaceLimiter::new(Instant::now(), params, Instant::now());
    // Each entry: when the next request of a program is due, which it is, and when the program began.
    let mut due: Vec<(Instant, u32, u32)> = Vec::new();
    let (mut begun, mut ended) = (0, 0);
    for step in 0..6_000_u32 {
        let now = Instant::now();
        // Four programs a second, where two fit.
        if step % 12 == 0 && step < 5_000 {
            due.push((now, 0, step));
        }
        let ready: Vec<_> = due.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, number, since) in ready {
            // What programs need is learned from the first ones.
            let counts = u32::from(since >= 2_000);
            let ask = QuotaRequest { is_first: number == 0 };
            match limiter.decide(ask, params, by_program, now) {
                QuotaReply::Granted { .. } => {
                    begun += counts * u32::from(number == 0);
                    match number + 1 < requests {
                        true => due.push((now + Duration::from_millis(300), number + 1, since)),
                        false => ended += counts,
                    }
                }
                // A call that is refused once more than its tries ends the program.
                QuotaReply::Refused { .. } => {}
            }
        }
        advance(Duration::from_millis(20)).await;
    }
    let share = f64::from(ended) / f64::from(begun);
    assert!((least..=most).contains(&share), "{ended} of {begun} ended");
}

#[tokio::test(start_paused = true)]
async fn what_was_not_used_goes_back() {
    let params = limiter_params(1.0, 1.0, STRICT);
    let mut limiter = WorkspaceLimiter::new(Instant::now(), params, Instant::now());
    advance(Duration::from_secs(10)).await;
    assert!(is_granted(limiter.decide(CALL, params, true, Instant::now())));
    assert!(!is_granted(limiter.decide(CALL, params, true, Instant::now())));
    limiter.release(CALL, params);
    assert!(is_granted(limiter.decide(CALL, params, true, Instant::now())));
}

#[tokio::test(start_paused = true)]
async fn a_limit_that_is_all_but_nothing_is_told_in_figures() {
    let params = limiter_params(1e-300, 1.0, STRICT);
    let standby = LimiterParams { role: LimiterRole::Standby, ..params };
    let mut limiter = WorkspaceLimiter::new(Instant::now(), standby, Instant::now());
    for params in [params, standby] {
        for ask in [CALL, FIRST] {
            let reply = limiter.decide(ask, params, true, Instant::now());
            let QuotaReply::Refused { retry_after } = reply else { panic!("{reply:?}") };
            assert!(retry_after <= Duration::from_secs(2));
        }
    }
}

fn members(statuses: &[LimiterStatus]) -> Vec<QuotaMember> {
    let member = |(number, status): (usize, &LimiterStatus)| QuotaMember {
        instance: format!("i{number}").into(),
        incarnation: 1,
        address: format!("10.0.0.{number}:1").into(),
        status: *status,
    };
    statuses.iter().enumerate().map(member).collect()
}

fn view_of(me: usize, statuses: &[LimiterStatus], least: usize) -> QuotaView {
    QuotaView::new(format!("i{me}").into(), members(statuses), least, Instant::now())
}

/// When an instance that has started now counts what it knows in full.
fn settled() -> Instant {
    Instant::now() + Duration::from_secs(3)
}

/// Members that agree name one limiter; a piece of a cut network has one each, and their parts add up
/// to the whole.
#[tokio::test(start_paused = true)]
async fn the_parts_of_all_limiters_add_up_to_one() {
    use LimiterStatus::{Alive, Gone};
    let share = |view: &QuotaView| match view.role("acme", settled()) {
        LimiterRole::Primary { share } => share,
        LimiterRole::Standby | LimiterRole::Observer => 0.0,
    };
    let whole: f64 = (0..9).map(|me| share(&view_of(me, &[Alive; 9], 0))).sum();
    assert_eq!(whole, 1.0);
    let near: Vec<_> = (0..9).map(|n| if n < 3 { Alive } else { Gone }).collect();
    let far: Vec<_> = (0..9).map(|n| if n < 3 { Gone } else { Alive }).collect();
    let parts = (0..9).map(|me| share(&view_of(me, if me < 3 { &near } else { &far }, 0)));
    let sum: f64 = parts.sum();
    assert!((sum - 1.0).abs() < 1e-9, "{sum}");
    // All have just started and know themselves only, but the store told them how many they are.
    let alone: f64 = (0..9).map(|_| share(&view_of(0, &[Alive], 9))).sum();
    assert!((alone - 1.0).abs() < 1e-9, "{alone}");
}

/// An instance that has just started and does not know all members yet gives out half of its part, and
/// nothing as a deputy, as many may be taken for one.
#[tokio::test(start_paused = true)]
async fn who_has_just_started_gives_out_less() {
    use LimiterStatus::Alive;
    let role = |view: &QuotaView, after: u64| {
        view.role("acme", Instant::now() + Duration::from_secs(after))
    };
    let alone = view_of(0, &[Alive], 4);
    assert_eq!(role(&alone, 1), LimiterRole::Primary { share: 0.125 });
    assert_eq!(role(&alone, 3), LimiterRole::Primary { share: 0.25 });
    let other = |least| {
        (0..3).map(|me| view_of(me, &[Alive; 3], least)).find(|view| !role(view, 3).is_primary())
    };
    let learning = other(4).expect("two of three are no limiters");
    assert_eq!(role(&learning, 1), LimiterRole::Observer);
    assert_eq!(role(&learning, 3), LimiterRole::Standby);
    let complete = other(3).expect("two of three are no limiters");
    assert_eq!(role(&complete, 0), LimiterRole::Standby);
}

#[tokio::test(start_paused = true)]
async fn who_is_asked_first_limits() {
    use LimiterStatus::{Alive, Gone, Suspect};
    for workspace in ["a", "b", "c", "d", "e", "f"] {
        let view = view_of(0, &[Alive; 5], 0);
        let [first, second] =
            view.candidates(workspace).map(|member| member.expect("five").clone());
        assert_ne!(first.instance, second.instance);
        let of = |member: &QuotaMember, statuses: &[LimiterStatus]| {
            let number = member.instance[1..].parse().expect("a number");
            view_of(number, statuses, 0).role(workspace, settled())
        };
        assert_eq!(of(&first, &[Alive; 5]), PRIMARY);
        assert_eq!(of(&second, &[Alive; 5]), LimiterRole::Standby);
        // Once it is suspected, the second one takes over; it may still be asked.
        let number: usize = first.instance[1..].parse().expect("a number");
        let mut statuses = [Alive; 5];
        statuses[number] = Suspect;
        assert_eq!(of(&second, &statuses), LimiterRole::Primary { share: 0.8 });
        let me = (number + 1) % 5;
        assert_eq!(
            view_of(me, &statuses, 0).candidates(workspace)[0],
            Some(&members(&statuses)[number])
        );
        statuses[number] = Gone;
        let next = view_of(me, &statuses, 0);
        assert_eq!(next.candidates(workspace)[0].map(|m| &m.instance), Some(&second.instance));
    }
}

fn request<'a>(id: u64, workspace: &'a WorkspaceId, quota: QuotaLimit) -> LimiterRequest<'a> {
    LimiterRequest { id, workspace, quota_request: CALL, quota }
}

/// An answer is lost and the question comes again: it is counted once.
#[tokio::test(start_paused = true)]
async fn a_repeated_question_is_counted_once() {
    let view = view_of(0, &[LimiterStatus::Alive], 0);
    let quota = QuotaLimit { rate: 1.0, burst: 2.0 };
    let workspace = "acme".into();
    advance(Duration::from_secs(10)).await;
    let mut registry = LimiterRegistry::new(STRICT, true, Instant::now() - Duration::from_secs(10));
    for _ in 0..5 {
        let (reply, primary) =
            registry.decide(request(1, &workspace, quota), &view, Instant::now());
        assert!(is_granted(reply) && primary);
    }
    assert!(is_granted(registry.decide(request(2, &workspace, quota), &view, Instant::now()).0));
    let (reply, _) = registry.decide(request(3, &workspace, quota), &view, Instant::now());
    assert!(!is_granted(reply));
}

/// The limiter of a workspace is killed, and this one takes over; it comes back, and is killed again.
/// This one's bucket has been full before; it must not give that burst out a second time, as the other
/// one gave out the limit meanwhile: two bursts in a window are more than the limit allows.
#[tokio::test(start_paused = true)]
async fn a_limiter_that_takes_over_again_begins_empty() {
    use LimiterStatus::{Alive, Gone};
    let workspace: Box<str> = "acme".into();
    let first = view_of(0, &[Alive; 2], 0).candidates(&workspace)[0].expect("two").instance.clone();
    let other: usize = first[1..].parse().expect("a number");
    let me = 1 - other;
    let mut without = [Alive; 2];
    without[other] = Gone;
    let mut view = view_of(me, &without, 0);
    let mut registry = LimiterRegistry::new(STRICT, true, Instant::now());
    let quota = QuotaLimit { rate: 10.0, burst: 100.0 };
    let level = |registry: &LimiterRegistry| {
        registry.samples(Instant::now()).first().map(|sample| sample.level)
    };
    advance(Duration::from_secs(100)).await;
    registry.decide(request(1, &workspace, quota), &view, Instant::now());
    assert_eq!(level(&registry), Some(49.0));
    view.update(members(&[Alive; 2]), 0, Instant::now());
    registry.tick(&view, Instant::now());
    assert_eq!(level(&registry), None);
    advance(Duration::from_secs(30)).await;
    view.update(members(&without), 0, Instant::now());
    registry.decide(request(2, &workspace, quota), &view, Instant::now());
    assert!(level(&registry).expect("it limits again") < 1.0, "{:?}", level(&registry));
    // Another member's end does not concern it: what has filled up stays.
    advance(Duration::from_secs(100)).await;
    let third = |number: usize| {
        let mut three = members(&without);
        let instance = format!("other-{number}").into();
        three.push(QuotaMember { instance, incarnation: 1, address: "z:1".into(), status: Alive });
        three
    };
    let goes_before = |three: &[QuotaMember]| {
        let view = QuotaView::new(format!("i{me}").into(), three.to_vec(), 0, Instant::now());
        !view.role(&workspace, Instant::now()).is_primary()
    };
    let mut three = (0..).map(third).find(|three| !goes_before(three)).expect("one of them");
    view.update(three.clone(), 0, Instant::now());
    three[2].status = Gone;
    view.update(three, 0, Instant::now());
    registry.decide(request(3, &workspace, quota), &view, Instant::now());
    assert!(level(&registry).expect("it limits") > 30.0, "{:?}", level(&registry));
}

/// A process that was paused is asked the moment it wakes: it gives out nothing that filled meanwhile.
#[tokio::test(start_paused = true)]
async fn a_limiter_begins_empty_after_a_pause() {
    let view = view_of(0, &[LimiterStatus::Alive], 0);
    let workspace: Box<str> = "acme".into();
    let quota = QuotaLimit { rate: 10.0, burst: 100.0 };
    let mut registry = LimiterRegistry::new(STRICT, true, Instant::now());
    advance(Duration::from_secs(30)).await;
    registry.restart(Instant::now());
    registry.decide(request(1, &workspace, quota), &view, Instant::now());
    assert!(registry.samples(Instant::now())[0].level < 1.0);
}

/// What a deputy gives out in a window, together with what the limiter does, is within the margin.
#[tokio::test(start_paused = true)]
async fn a_limiter_and_its_deputy_keep_the_bound() {
    for (rate, burst) in [(1.0, 1.0), (8.0, 8.0), (200.0, 200.0), (50.0, 5.0)] {
        let quota = QuotaLimit { rate, burst };
        let primary = LimiterParams { quota, bounds: BOUNDS, role: PRIMARY };
        let standby = LimiterParams { role: LimiterRole::Standby, ..primary };
        let begun = Instant::now();
        advance(Duration::from_secs(60)).await;
        let mut limiters = [primary, standby]
            .map(|params| (params, WorkspaceLimiter::new(begun, params, Instant::now())));
        let mut count = 0;
        let start = Instant::now();
        while start.elapsed() < BOUNDS.window {
            for (params, limiter) in &mut limiters {
                while let QuotaReply::Granted { after } =
                    limiter.decide(CALL, *params, true, Instant::now())
                    && start.elapsed() + after <= BOUNDS.window
                {
                    count += 1;
                }
            }
            advance(Duration::from_millis(10)).await;
        }
        let bound = BOUNDS.limit(quota) + BOUNDS.tolerance(quota);
        assert!(f64::from(count) <= bound, "{count} of {bound} at {rate}");
        assert!(f64::from(count) >= BOUNDS.limit(quota), "{count} at {rate}");
    }
}

/// The other way keeps a small workspace's limit badly: an equal part of three requests a second is
/// nothing whole at ninety instances, and rounded up it is many times the limit.
#[tokio::test(start_paused = true)]
async fn equal_parts_of_a_small_limit_are_nothing_whole() {
    const INSTANCES: usize = 90;
    let quota = QuotaLimit { rate: 3.0, burst: 3.0 };
    let mut shares: Vec<QuotaShare> =
        (0..INSTANCES).map(|_| QuotaShare::new(Instant::now())).collect();
    advance(Duration::from_secs(60)).await;
    let ask =
        |share: &mut QuotaShare| is_granted(share.decide(quota, BOUNDS, INSTANCES, Instant::now()));
    let granted = shares.iter_mut().map(|share| usize::from(ask(share))).sum::<usize>();
    let bound = BOUNDS.limit(quota) + BOUNDS.tolerance(quota);
    assert!(granted as f64 > bound, "{granted} at once of {bound}");
}

/// A workspace is named so that its name and a caller's id read like another workspace's with another
/// id. Each has its own programs all the same.
#[test]
fn names_of_two_workspaces_never_meet() {
    let names = [("a", "b/c"), ("a/b", "c"), ("1:a", "b/c"), ("a/", "b/c"), ("", "a/b/c")];
    let owned = names.map(|(workspace, name)| owned_name(Some(&workspace.into()), name));
    let distinct: std::collections::BTreeSet<_> = owned.iter().collect();
    assert_eq!(distinct.len(), names.len(), "{owned:?}");
    assert_eq!(&*owned_name(None, "p"), "p");
}
