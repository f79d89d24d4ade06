// The scenarios of the second review's scripts; part of world-2.rs.

/// What a program did, and what its budget must have allowed.
#[derive(Default)]
struct ProgramCount {
    requests: usize,
    turns: usize,
    /// Answers of 402 although the budget held one more turn.
    wrongly_spent: usize,
}

struct ProgramPlan {
    name: String,
    path: &'static str,
    turns: usize,
    most: u64,
    think: Duration,
    /// The turns name the turn that they continue from.
    retained: bool,
}

/// Machines that were disturbed, and until when they don't count as in touch.
type OutOfTouch = Arc<Mutex<HashMap<String, Instant>>>;

/// The largest `stable-ms` of the sheets that the scripts are for.
const STABLE: Duration = Duration::from_millis(4_000);

/// Plays one program, turn by turn. A failed turn is sent again from its start, at most twice.
fn play_program(
    plan: &ProgramPlan,
    fronts: &[String],
    record: &Record,
    out_of_touch: &OutOfTouch,
) -> ProgramCount {
    let mut count = ProgramCount::default();
    let budget = plan.turns as u64 * plan.most;
    // Tokens of whole turns, and the most of those that did not end whole.
    let mut spent = 0;
    let mut draw = Draw(plan.name.bytes().fold(7, |sum, byte| sum * 31 + u64::from(byte)));
    let mut previous: Option<String> = None;
    'turns: for _ in 0..plan.turns {
        for attempt in 0..3 {
            let front = &fronts[draw.below(fronts.len())];
            let id = new_id();
            let turn = Turn {
                path: plan.path,
                program: &plan.name,
                budget,
                most: plan.most,
                previous: previous.as_deref().filter(|_| plan.retained),
                input: "what next?",
            };
            let result = send_turn(front, &id, &turn, record);
            count.requests += 1;
            if result.status == 200 && result.whole {
                spent += result.events * EVENT_TOKENS;
                count.turns += 1;
                previous = Some(id);
                thread::sleep(plan.think);
                continue 'turns;
            }
            if result.status == 402 {
                let fits = spent + plan.most <= budget;
                let in_touch = out_of_touch
                    .lock()
                    .unwrap()
                    .get(front)
                    .is_none_or(|until| Instant::now() > *until);
                record.note(&format!(
                    "402 {id} program {}: at most {spent} of {budget} tokens are spent, one more \
                     turn takes {}; in touch: {in_touch}",
                    plan.name, plan.most
                ));
                count.wrongly_spent += usize::from(fits && in_touch);
                return count;
            }
            // 503 and 429 promise that the turn doesn't run; an address that refuses got nothing.
            if result.sent && !matches!(result.status, 503 | 429) {
                spent += plan.most;
            }
            thread::sleep(Duration::from_millis(150 + 75 * attempt));
        }
        return count;
    }
    count
}

fn play_programs(
    world: &World,
    plans: Vec<ProgramPlan>,
    stagger: Duration,
    out_of_touch: &OutOfTouch,
) -> Vec<thread::JoinHandle<ProgramCount>> {
    let fronts = world.fronts();
    let start = |(number, plan): (usize, ProgramPlan)| {
        let (fronts, record) = (fronts.clone(), world.record.clone());
        let out_of_touch = out_of_touch.clone();
        thread::spawn(move || {
            thread::sleep(stagger * number as u32);
            play_program(&plan, &fronts, &record, &out_of_touch)
        })
    };
    plans.into_iter().enumerate().map(start).collect()
}

/// The rule DENIED: more than 5 + one in 500 of all requests.
fn judge_denied(world: &World, counts: &[ProgramCount]) -> bool {
    let requests: usize = counts.iter().map(|count| count.requests).sum();
    let turns: usize = counts.iter().map(|count| count.turns).sum();
    let wrong: usize = counts.iter().map(|count| count.wrongly_spent).sum();
    let bound = 5.0 + requests as f64 / 500.0;
    let text = format!(
        "{} programs, {requests} requests, {turns} turns whole, {wrong} answered 402 by machines in \
         touch although the budget held one more turn; the rule allows {bound:.1}",
        counts.len()
    );
    world.record.note(&text);
    println!("{text}");
    wrong as f64 > bound
}

/// The machine that writes most to the store under a condition is killed once.
fn budget_kill(folder: &Path) -> bool {
    let mut world = World::new(folder);
    let more = ",\"resumable\":true";
    world.manifest(1, &[RouteText { prefix: "/turn/", kind: "stream", service: "llm", more }]);
    let _engines: Vec<Engine> = (0..4).map(|n| Engine::start(&world, n, "llm")).collect();
    (0..3).for_each(|_| world.add_gateway(130));
    world.start_gateways();
    let out_of_touch = OutOfTouch::default();
    let plans = (0..24).map(|number| ProgramPlan {
        name: format!("p{number}-{}", new_id()),
        path: "/turn/x",
        turns: 8,
        most: 16,
        think: Duration::from_millis(250),
        retained: false,
    });
    let programs = play_programs(&world, plans.collect(), Duration::from_millis(20), &out_of_touch);
    thread::sleep(Duration::from_millis(1_800));
    if world.trouble {
        let victim = world.store.main_writer().unwrap_or_else(|| cannot("nothing was written"));
        let front = world.address(victim, world.ports.front);
        out_of_touch.lock().unwrap().insert(front.clone(), Instant::now() + 2 * STABLE);
        world.record.note(&format!("kill of {front}, which writes most under a condition"));
        world.gateways[victim].kill();
        thread::sleep(Duration::from_millis(500));
        world.gateways[victim].start();
        world.record.note(&format!("start of {front}"));
        out_of_touch.lock().unwrap().insert(front, Instant::now() + STABLE);
    }
    let counts: Vec<ProgramCount> =
        programs.into_iter().map(|program| program.join().expect("programs end")).collect();
    judge_denied(&world, &counts)
}

/// The machine that writes most to the store under a condition is stopped as planned, with SIGTERM.
fn budget_term(folder: &Path) -> bool {
    let mut world = World::new(folder);
    let more = ",\"resumable\":true";
    world.manifest(1, &[RouteText { prefix: "/turn/", kind: "stream", service: "llm", more }]);
    let _engines: Vec<Engine> = (0..4).map(|n| Engine::start(&world, n, "llm")).collect();
    (0..3).for_each(|_| world.add_gateway(130));
    world.start_gateways();
    let out_of_touch = OutOfTouch::default();
    let plans = (0..96).map(|number| ProgramPlan {
        name: format!("p{number}-{}", new_id()),
        path: "/turn/x",
        turns: 8,
        most: 16,
        think: Duration::from_millis(20),
        retained: false,
    });
    let programs = play_programs(&world, plans.collect(), Duration::from_millis(15), &out_of_touch);
    thread::sleep(Duration::from_millis(1_800));
    if world.trouble {
        let victim = world.store.main_writer().unwrap_or_else(|| cannot("nothing was written"));
        let front = world.address(victim, world.ports.front);
        out_of_touch.lock().unwrap().insert(front.clone(), Instant::now() + MAX_TIME);
        world.record.note(&format!("SIGTERM to {front}, which writes most under a condition"));
        world.gateways[victim].signal("TERM");
    }
    let counts: Vec<ProgramCount> =
        programs.into_iter().map(|program| program.join().expect("programs end")).collect();
    judge_denied(&world, &counts)
}

/// The machine that writes most to the store under a condition stands still for 1 s.
fn budget_freeze(folder: &Path) -> bool {
    let mut world = World::new(folder);
    world.manifest(
        1,
        &[RouteText {
            prefix: "/turn/",
            kind: "stream",
            service: "llm",
            more: ",\"retained\":true,\"retain-s\":60",
        }],
    );
    let _engines: Vec<Engine> = (0..4).map(|n| Engine::start(&world, n, "llm")).collect();
    (0..9).for_each(|_| world.add_gateway(130));
    world.start_gateways();
    let out_of_touch = OutOfTouch::default();
    let plans = (0..45).map(|number| ProgramPlan {
        name: format!("p{number}-{}", new_id()),
        path: "/turn/x",
        turns: 12,
        most: 16,
        think: Duration::from_millis(200),
        retained: true,
    });
    let programs = play_programs(&world, plans.collect(), Duration::from_millis(10), &out_of_touch);
    thread::sleep(Duration::from_millis(1_500));
    if world.trouble {
        let victim = world.store.main_writer().unwrap_or_else(|| cannot("nothing was written"));
        let front = world.address(victim, world.ports.front);
        out_of_touch.lock().unwrap().insert(front.clone(), Instant::now() + 4 * STABLE);
        world.record.note(&format!("freeze of {front}, which writes most under a condition"));
        world.gateways[victim].signal("STOP");
        thread::sleep(Duration::from_millis(1_000));
        world.gateways[victim].signal("CONT");
        world.record.note(&format!("wake of {front}"));
        out_of_touch.lock().unwrap().insert(front, Instant::now() + STABLE);
    }
    let counts: Vec<ProgramCount> =
        programs.into_iter().map(|program| program.join().expect("programs end")).collect();
    judge_denied(&world, &counts)
}

/// Bytes of each long input; `max-body-bytes` is 4,194,304.
const LONG_INPUT: usize = 620_000;
const LONG_TURNS: usize = 16;
const RETAINED: Duration = Duration::from_secs(60);

/// Programs go on from what another one said. A machine with less memory than the others is added.
fn long_history(folder: &Path) -> bool {
    let mut world = World::new(folder);
    world.manifest(
        1,
        &[RouteText {
            prefix: "/turn/",
            kind: "stream",
            service: "llm",
            more: ",\"retained\":true,\"retain-s\":60",
        }],
    );
    let _engines: Vec<Engine> = (0..4).map(|n| Engine::start(&world, n, "llm")).collect();
    (0..3).for_each(|_| world.add_gateway(512));
    world.start_gateways();
    let (mut fronts, record) = (world.fronts(), world.record.clone());
    let turn = |front: &str, program: &str, previous: Option<&str>, input: &str| {
        let id = new_id();
        let path = "/turn/x";
        let turn = Turn { path, program, budget: 10_000, most: 4, previous, input };
        (send_turn(front, &id, &turn, &record), id)
    };
    let input = "a".repeat(LONG_INPUT);
    let mut last: Option<String> = None;
    let author = format!("author-{}", new_id());
    for number in 0..LONG_TURNS {
        let (result, id) = turn(&fronts[number % 3], &author, last.as_deref(), &input);
        if result.status != 200 || !result.whole {
            cannot("the first program is not served");
        }
        last = Some(id);
    }
    let last = last.unwrap_or_default();
    let told = Instant::now();
    if world.trouble {
        world.add_gateway(88);
        let added = world.gateways.len() - 1;
        world.gateways[added].start();
        world.record.note("a machine of 88 MB is added");
        let deadline = Instant::now() + Duration::from_secs(10);
        while named(&world.address(0, world.ports.directory)) <= added {
            if Instant::now() > deadline {
                cannot("the machine that was added is not named");
            }
            thread::sleep(Duration::from_millis(50));
        }
        thread::sleep(STABLE);
        fronts = world.fronts();
    }
    let (mut served, mut lost, mut other) = (0, 0, 0);
    for number in 0..6 {
        let program = format!("next-{number}-{}", new_id());
        let (mut previous, mut at) = (last.clone(), told);
        for step in 0..4 {
            let front = &fronts[(number + step) % fronts.len()];
            let (result, id) = turn(front, &program, Some(&previous), "and then?");
            match result.status {
                200 if result.whole => {
                    served += 1;
                    (previous, at) = (id, Instant::now());
                }
                404 if at.elapsed() < RETAINED => {
                    let seconds = at.elapsed().as_secs_f64();
                    let text = format!("404 for a turn that was answered whole {seconds:.1} s ago");
                    world.record.note(&text);
                    lost += 1;
                    break;
                }
                _ => other += 1,
            }
        }
    }
    let text = format!(
        "{served} turns served, {lost} answered 404 although the turn before was answered whole within \
         retain-s, {other} answered otherwise; the rule allows none"
    );
    world.record.note(&text);
    println!("{text}");
    lost > 0
}

const LONG_PROMPT: u64 = 48_000;

#[derive(Default)]
struct CloseCount {
    whole: AtomicUsize,
    /// Answered with a status of the system's own.
    answered: AtomicUsize,
    /// The stream broke off after its head.
    broken: AtomicUsize,
    /// The channel ended without a byte of an answer.
    silent: AtomicUsize,
}

/// Sends turns on a kept channel, one after the other: a short one, then long ones.
fn talk(number: usize, front: &str, until: Instant, counts: &CloseCount, record: &Record) {
    let mut channel: Option<Wire> = None;
    for turn in 0.. {
        if Instant::now() >= until {
            return;
        }
        if channel.is_none() {
            channel = Wire::connect(front);
        }
        let Some(wire) = &mut channel else { return };
        let _ = wire.stream.set_read_timeout(Some(Duration::from_millis(6_500)));
        let id = new_id();
        let prompt = if turn % 2 == 0 { 320 } else { LONG_PROMPT };
        let request = format!(
            "POST /turn/x HTTP/1.1\r\nHost: {HOST}\r\nMerlinsaddle-Request-Id: {id}\r\n\
             Merlinsaddle-Program-Id: talk-{number}\r\nMerlinsaddle-Session-Id: talk-{number}-s\r\n\
             Merlinsaddle-Finish-Ms: 60000\r\nMerlinsaddle-Token-Budget: 100000\r\n\
             Merlinsaddle-Token-Usage: {prompt},16\r\nMerlinsaddle-Model: m\r\n\
             Merlinsaddle-Deadline-Ms: 6000\r\nContent-Length: 5\r\n\r\nhello"
        );
        let begun = Instant::now();
        record.note(&format!("sent {id} prompt {prompt} to {front}"));
        let sent = wire.send(request.as_bytes());
        let answer = if sent { wire.message(true) } else { None };
        let millis = begun.elapsed().as_millis();
        let (outcome, count) = match &answer {
            Some(answer) if answer.status() == 200 && answer.whole => ("whole", &counts.whole),
            Some(answer) if answer.status() == 200 => ("broken off", &counts.broken),
            Some(_) => ("answered", &counts.answered),
            None => ("closed without an answer", &counts.silent),
        };
        count.fetch_add(1, Ordering::Relaxed);
        let status = answer.as_ref().map_or(0, Message::status);
        record.note(&format!("ended {id} {outcome}, status {status}, after {millis} ms"));
        let kept =
            answer.is_some_and(|answer| answer.whole && answer.header("connection") != "close");
        if !kept {
            channel = None;
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// The operator lowers the time-out of a route while engines take longer than it to the first event.
fn timeout_close(folder: &Path) -> bool {
    let mut world = World::new(folder);
    let routes = [RouteText { prefix: "/turn/", kind: "stream", service: "llm", more: "" }];
    world.manifest(1, &routes);
    let _engines: Vec<Engine> = (0..4).map(|n| Engine::start(&world, n, "llm")).collect();
    (0..3).for_each(|_| world.add_gateway(130));
    world.start_gateways();
    let counts = Arc::new(CloseCount::default());
    let until = Instant::now() + Duration::from_secs(14);
    let consumers: Vec<_> = (0..6)
        .map(|number| {
            let front = world.fronts()[number % 3].clone();
            let (counts, record) = (counts.clone(), world.record.clone());
            thread::spawn(move || talk(number, &front, until, &counts, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    if world.trouble {
        world.manifest_with_timeout(2, &routes, 1_000);
        world.record.note("version 2 of the manifest: timeout-ms is 1000 instead of 6000");
    }
    consumers.into_iter().for_each(|consumer| consumer.join().expect("consumers end"));
    let get = |count: &AtomicUsize| count.load(Ordering::Relaxed);
    let text = format!(
        "{} turns whole, {} answered by the system, {} streams broken off, {} channels closed without \
         an answer after the turn was passed on; the rule allows 3",
        get(&counts.whole),
        get(&counts.answered),
        get(&counts.broken),
        get(&counts.silent)
    );
    world.record.note(&text);
    println!("{text}");
    get(&counts.silent) > 3
}

const STREAM_EVENTS: u64 = 30;

/// One engine of eight crashes while it sends events; its streams have no length.
fn torn_streams(folder: &Path) -> bool {
    let mut world = World::new(folder);
    world.manifest(1, &[RouteText { prefix: "/talk/", kind: "stream", service: "llm", more: "" }]);
    let engines: Vec<Engine> = (0..8).map(|n| Engine::start(&world, n, "llm")).collect();
    engines.iter().for_each(|engine| engine.unframed.store(true, Ordering::Relaxed));
    (0..3).for_each(|_| world.add_gateway(130));
    world.start_gateways();
    let consumers: Vec<_> = (0..48)
        .map(|number| {
            let (front, record) = (world.fronts()[number % 3].clone(), world.record.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(5) * number as u32);
                let id = new_id();
                let request = format!(
                    "POST /talk/x HTTP/1.1\r\nHost: {HOST}\r\nMerlinsaddle-Request-Id: {id}\r\n\
                     Merlinsaddle-Token-Usage: 320,{}\r\nMerlinsaddle-Model: m\r\n\
                     Merlinsaddle-Deadline-Ms: 6000\r\nContent-Length: 5\r\n\r\nhello",
                    STREAM_EVENTS * EVENT_TOKENS
                );
                record.note(&format!("sent {id} to {front}"));
                let mut wire = Wire::connect(&front)?;
                let _ = wire.stream.set_read_timeout(Some(Duration::from_secs(7)));
                let answer = wire.send(request.as_bytes()).then(|| wire.message(true)).flatten()?;
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                let last = format!("data: w{STREAM_EVENTS}\n\n");
                let (status, ended, has_all) =
                    (answer.status(), answer.whole, text.ends_with(&last));
                let tail = text.lines().last().unwrap_or_default().to_owned();
                record.note(&format!(
                    "answered {id} status {status}, ended as complete: {ended}, has its last piece: \
                     {has_all}, last line: {tail}"
                ));
                Some((status == 200 && ended, has_all))
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(600));
    if world.trouble {
        engines[3].crashed.store(true, Ordering::Relaxed);
        world.record.note(&format!("{} crashes", engines[3].id));
    }
    let ends: Vec<_> =
        consumers.into_iter().filter_map(|consumer| consumer.join().expect("they end")).collect();
    let whole = ends.iter().filter(|(ended, has_all)| *ended && *has_all).count();
    let torn = ends.iter().filter(|(ended, has_all)| *ended && !*has_all).count();
    let text = format!(
        "{whole} streams whole, {torn} ended as complete before their last piece; the rule allows none"
    );
    world.record.note(&text);
    println!("{text}");
    torn > 0
}

/// The resident memory of a process in bytes.
fn memory(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok().map(|kilobytes: u64| kilobytes * 1024)
}

#[derive(Default)]
struct UploadCount {
    served: AtomicUsize,
    refused: AtomicUsize,
    /// Sent whole on a kept channel, run by an engine, and never answered.
    lost: AtomicUsize,
    /// The same on a new channel, or not passed on.
    unanswered: AtomicUsize,
}

/// Under `max-body-bytes` of the manifest.
const UPLOAD_BYTES: usize = 4_000_000;

/// Sends uploads on a kept channel, one after the other, until `until`. A consumer whose channel or
/// address fails goes to the next address.
fn upload(number: usize, fronts: &[String], until: Instant, counts: &UploadCount, record: &Record) {
    let body = vec![b'x'; UPLOAD_BYTES];
    let (mut front, mut channel, mut is_kept) = (number, None, false);
    while Instant::now() < until {
        let address = &fronts[front % fronts.len()];
        let wire: &mut Wire = match &mut channel {
            Some(wire) => wire,
            None => match Wire::connect(address) {
                Some(wire) => {
                    let _ = wire.stream.set_read_timeout(Some(Duration::from_secs(6)));
                    is_kept = false;
                    channel.insert(wire)
                }
                None => {
                    front += 1;
                    thread::sleep(Duration::from_millis(300));
                    continue;
                }
            },
        };
        let id = new_id();
        let head = format!(
            "POST /export/x HTTP/1.1\r\nHost: {HOST}\r\nMerlinsaddle-Request-Id: {id}\r\n\
             Merlinsaddle-Deadline-Ms: 6000\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
        );
        record.note(&format!("sent {id} to {address}"));
        let sent = wire.send(head.as_bytes()) && wire.send(&body);
        let status = if sent { wire.message(true).map_or(0, |answer| answer.status()) } else { 0 };
        record.note(&format!("answered {id} status {status} sent whole {sent}"));
        let was_run = RUN.lock().unwrap().contains(&id);
        let count = match (status, sent) {
            (200, _) => &counts.served,
            (0, true) if is_kept && was_run => &counts.lost,
            (0, true) => &counts.unanswered,
            _ => &counts.refused,
        };
        count.fetch_add(1, Ordering::Relaxed);
        is_kept = true;
        if status != 200 {
            channel = None;
            front += 1;
            thread::sleep(Duration::from_millis(300));
        }
    }
}

/// The platform's bound on the memory of a process, in MB.
const MEMORY_MB: u64 = 130;
const USUAL_CONSUMERS: usize = 18;
const BURST: f64 = 2.2;
const BURST_TIME: Duration = Duration::from_secs(6);

/// Consumers send uploads below the limit of the manifest; at times 2.2 times as many of them. The
/// platform kills a process whose memory is over its limit, and starts it again.
fn memory_burst(folder: &Path) -> bool {
    let mut world = World::new(folder);
    world
        .manifest(1, &[RouteText { prefix: "/export/", kind: "unsafe", service: "api", more: "" }]);
    let engines: Vec<Engine> = (0..8).map(|n| Engine::start(&world, n, "api")).collect();
    // 800 ms a request.
    engines.iter().for_each(|engine| engine.slowness.store(16, Ordering::Relaxed));
    (0..3).for_each(|_| world.add_gateway(MEMORY_MB));
    world.start_gateways();
    let counts = Arc::new(UploadCount::default());
    let begun = Instant::now();
    let end = begun + Duration::from_secs(36);
    let (fronts, shared) = (world.fronts(), (counts.clone(), world.record.clone()));
    let start = |number: usize, until: Instant| {
        let (fronts, (counts, record)) = (fronts.clone(), shared.clone());
        thread::spawn(move || upload(number, &fronts, until, &counts, &record))
    };
    let mut consumers: Vec<_> = (0..USUAL_CONSUMERS).map(|number| start(number, end)).collect();
    let more = (USUAL_CONSUMERS as f64 * (BURST - 1.0)) as usize;
    let mut bursts = [4u64, 15, 26].into_iter().map(Duration::from_secs).peekable();
    let count = world.gateways.len();
    let (mut kills, mut peak, mut start_at) = (vec![0; count], vec![0; count], vec![None; count]);
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(10));
        if world.trouble && bursts.next_if(|at| begun.elapsed() >= *at).is_some() {
            world.record.note(&format!("{BURST} times the consumers for {BURST_TIME:?}"));
            let until = Instant::now() + BURST_TIME;
            consumers.extend((0..more).map(|number| start(number, until)));
        }
        for number in 0..count {
            if start_at[number].is_some_and(|at| Instant::now() >= at) {
                start_at[number] = None;
                world.gateways[number].start();
                world.record.note(&format!("start of gateway {number}"));
            }
            let Some(process) = world.gateways[number].process.as_ref().map(Child::id) else {
                continue;
            };
            let used = memory(process).unwrap_or(0);
            peak[number] = peak[number].max(used);
            if used > MEMORY_MB * 1024 * 1024 {
                kills[number] += 1;
                world.record.note(&format!(
                    "gateway {number} has {} MB, over its {MEMORY_MB} MB: killed by the platform",
                    used / 1024 / 1024
                ));
                world.gateways[number].kill();
                start_at[number] = Some(Instant::now() + Duration::from_millis(500));
            }
        }
    }
    consumers.into_iter().for_each(|consumer| consumer.join().expect("consumers end"));
    let peak: Vec<u64> = peak.iter().map(|bytes| bytes / 1024 / 1024).collect();
    let get = |count: &AtomicUsize| count.load(Ordering::Relaxed);
    let text = format!(
        "over the memory limit: {kills:?} times a machine; peaks {peak:?} MB; uploads: {} served, {} on \
         kept channels passed on to an engine and never answered, the rule allows 3; {} others never \
         answered, {} refused or cut while they were sent",
        get(&counts.served),
        get(&counts.lost),
        get(&counts.unanswered),
        get(&counts.refused)
    );
    world.record.note(&text);
    println!("{text}");
    get(&counts.lost) > 3
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, folder] = &arguments[..] else { cannot("world-2 SCENARIO FOLDER") };
    if !Path::new("target/release/merlinsaddle").exists() {
        cannot("target/release/merlinsaddle is not built");
    }
    let play: fn(&Path) -> bool = match scenario.as_str() {
        "memory-burst" => memory_burst,
        "timeout-close" => timeout_close,
        "budget-kill" => budget_kill,
        "budget-term" => budget_term,
        "torn-streams" => torn_streams,
        "long-history" => long_history,
        "budget-freeze" => budget_freeze,
        _ => cannot("no such scenario"),
    };
    thread::spawn(|| {
        thread::sleep(MAX_TIME);
        cannot("it takes too long");
    });
    match std::panic::catch_unwind(|| play(Path::new(folder))) {
        Ok(broken) => std::process::exit(i32::from(broken)),
        Err(_) => cannot("a stand-in failed"),
    }
}
