//! What a scenario file says, as typed values.

use apricotdale_admin::MemberState;
use apricotdale_core::config::ConfigEdit;

/// `Scenario` is one scenario file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scenario {
    /// What it is about.
    pub title: String,
    /// Its statements, in order.
    pub steps: Vec<Step>,
}

/// `Position` is a place in a scenario file, counted from one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column.
    pub column: usize,
}

/// `Step` is one statement with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Where the statement begins.
    pub position: Position,
    /// The statement as it is written.
    pub text: String,
    /// What it says.
    pub statement: Statement,
}

/// `Statement` is what one line says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Describes the cluster, before it is started.
    Setup(Setup),
    /// Starts the cluster and waits until all of it is ready.
    Start,
    /// Publishes an edit of the configuration.
    Publish(Publication),
    /// Publishes two edits at the same time on the same base version.
    Race(Publication, Publication),
    /// Gives a second name to a VM or an engine that only the running cluster knows.
    Alias(Alias),
    /// Sends requests and goes on.
    SendRequests(SendRequests),
    /// Sends a request, and again as long as it is refused as not run, until the whole answer came.
    Insist(SendRequests),
    /// Waits until the answer of a request has begun.
    AwaitBegun(String),
    /// Waits until a VM's process has ended by itself with a code.
    AwaitExit(String, i32),
    /// Waits until requests have ended, which they must do as told.
    AwaitEnd(String, Ending),
    /// Sets a fault at a stand-in, in the stand-in's words.
    Fault(String, Vec<String>),
    /// Trims a stream of the log to its end.
    Trim(String),
    /// Does something to a process.
    Process(ProcessVerb, String),
    /// Changes the state of a VM on the platform's list.
    List(String, ListedState),
    /// Checks a condition now.
    Expect(Condition),
    /// Waits until a condition holds, at most for a number of polls.
    Eventually(Condition, Option<u32>),
    /// Checks that a condition holds at each of a number of polls.
    Always(Condition, u32),
}

/// `Setup` is one line about the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Setup {
    /// The number of VMs.
    Vms(usize),
    /// The availability zones, over which VMs and upstreams are spread in turn.
    Zones(Vec<String>),
    /// A group of engines.
    Engines(EngineGroup),
    /// A plain service and the number of its instances.
    Service(String, usize),
    /// A setting of the daemons: section, key and value.
    Setting(String, String, String),
    /// A flag of all stand-ins of one kind, without its dashes, and its value.
    Standin(StandinKind, String, String),
}

/// `EngineGroup` is a group of engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineGroup {
    /// The group.
    pub group: String,
    /// How many engines it has.
    pub count: usize,
    /// Whether they refuse old fencing numbers.
    pub checks_fence: bool,
    /// Accelerator memory, or none for the stand-in's own default.
    pub memory_bytes: Option<u64>,
    /// Places in the batch, or none for the stand-in's own default.
    pub slots: Option<u32>,
}

/// `StandinKind` is a kind of stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StandinKind {
    /// The append-only log.
    Log,
    /// The weight store.
    Weights,
    /// The list of VMs.
    VmList,
    /// A model engine.
    Engine,
    /// An instance of a plain service.
    Service,
}

/// `Publication` is an edit and where it is published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Publication {
    /// The edit.
    pub edit: ConfigEdit,
    /// The VM at which it is published.
    pub selector: VmSelector,
}

/// `Alias` is a second name for a VM or an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Alias {
    /// The new name.
    pub name: String,
    /// What it stands for.
    pub role: AliasRole,
    /// The model whose last decided load tells it.
    pub model: String,
}

/// `AliasRole` is what an alias stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AliasRole {
    /// The VM that proposed the model's last decided load, and so sends its order.
    Proposer,
    /// The engine of the model's last decided load.
    Engine,
}

/// `VmSelector` is the VMs at which something is done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VmSelector {
    /// Every VM that was not killed, frozen or told to stop.
    All,
    /// The first such VM that is not the named one.
    Not(String),
    /// The named VM.
    Vm(String),
}

/// `SendRequests` is one request or several equal ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendRequests {
    /// The name under which the requests are awaited.
    pub name: String,
    /// How many requests go to each place.
    pub count: u32,
    /// Where they go.
    pub selector: VmSelector,
    /// What they ask for.
    pub work: Work,
    /// Their class, or none for the VM's default.
    pub class: Option<String>,
    /// Their own timeout, or none for the class's target.
    pub timeout_ms: Option<u64>,
    /// Their idempotency key.
    pub key: Option<String>,
    /// Their body, for calls.
    pub body: Option<String>,
}

/// `Work` is what a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// A completion by a model.
    Completion {
        /// The model.
        model: String,
        /// The length of the answer.
        tokens: u32,
        /// Whether the answer is a stream.
        stream: bool,
    },
    /// A call to a plain service.
    Call {
        /// The service.
        service: String,
        /// The HTTP method.
        method: String,
        /// The path below the service.
        path: String,
    },
}

/// `Ending` is how a request is to end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With its whole answer, of a status or of any status of success.
    Whole(Option<u16>),
    /// With a refusal in place of an answer.
    Refused(RefusalPattern),
    /// With an answer that begins and breaks off, recognisably.
    Cut(RefusalPattern),
    /// Without an answer, or with a part of one, because its VM went away.
    Lost,
    /// With its whole answer or with a refusal.
    Answered,
    /// In any way.
    Ended,
}

/// `RefusalPattern` is what a refusal must say; what is none is not looked at.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RefusalPattern {
    /// The reason.
    pub reason: Option<String>,
    /// Whether the request ran.
    pub ran: Option<String>,
}

/// `ProcessVerb` is what can be done to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessVerb {
    /// Ends it at once, by SIGKILL.
    Kill,
    /// Stops its time, by SIGSTOP.
    Freeze,
    /// Lets a frozen one go on, by SIGCONT.
    Wake,
    /// Asks it to end gracefully, by SIGTERM.
    Terminate,
    /// Kills it where it runs and starts it anew.
    Restart,
}

/// `ListedState` is a state on the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// Runs.
    Live,
    /// Is being taken away.
    Leaving,
    /// Has been taken away.
    Gone,
}

/// `Condition` compares a measure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// What is measured.
    pub measure: Measure,
    /// With what it is compared.
    pub comparison: Comparison,
}

/// `Comparison` is what a measure must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// The number of VMs that run.
    Everywhere,
    /// This number or less.
    AtMost(u64),
    /// This number or more.
    AtLeast(u64),
    /// This number.
    Exactly(u64),
}

/// `Measure` is a number that can be read from the outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Measure {
    /// A sum over the engines, or the number of one.
    Engine(EngineMeasure, Option<String>),
    /// A number for a model, over the engines or for one.
    Model(ModelMeasure, String, Option<String>),
    /// Calls that ran at the plain services, by method and path.
    Calls(String),
    /// Calls that ran at the plain services under an idempotency key.
    KeyCalls(String),
    /// How often the requests of a name were received by upstreams.
    Runs(String),
    /// How many of the requests of a name have ended as told.
    Endings(String, Ending),
    /// How many publications of the last race were accepted.
    RaceAccepted,
    /// How many publications of the last race were told that they lost.
    RaceRejected,
    /// The VMs on which an edit is in force.
    InForce(ConfigEdit),
    /// The number of different versions in force on the VMs.
    ConfigVersions,
    /// How many VMs see another whose replayed state differs from theirs.
    Diverged,
    /// The VMs that send new work to an upstream.
    Accepting(String),
    /// The requests that an upstream has received.
    Received(String),
    /// The VMs that take requests.
    Ready,
    /// The VMs that see another one in a state.
    Seen(String, MemberState),
    /// The records of the control stream on which replay came to a verdict, by its code.
    Verdicts(String),
    /// The requests in progress at a VM.
    InProgress(String),
    /// The last records of a stream that no snapshot on the log covers.
    Unsnapshotted(String),
    /// The value of a metric of one VM.
    Metric(String, String),
}

/// `EngineMeasure` is a number that engines count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineMeasure {
    /// Load orders received.
    LoadOrders,
    /// Unload orders received.
    UnloadOrders,
    /// Orders refused.
    RefusedOrders,
    /// How often more memory was held than there is.
    Overcommitted,
    /// Memory held now.
    HeldBytes,
}

/// `ModelMeasure` is a number that tells of one model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ModelMeasure {
    /// Loads that took effect at the engines.
    Loads,
    /// Engines on which it is loaded now.
    Loaded,
    /// Engines on which it takes memory now.
    Resident,
    /// Load intents on the control stream that replay accepted.
    Decided,
    /// Load intents on the control stream, accepted or not.
    Proposed,
    /// VMs that know a loaded replica.
    Routable,
}
