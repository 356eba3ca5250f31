//! Abstract syntax tree of a scenario file.

use apricotdale_admin::MemberState;
use apricotdale_core::config::ConfigEdit;

/// One scenario file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scenario {
    /// Title in the file's first line.
    pub title: String,
    /// Statements in order.
    pub steps: Vec<Step>,
}

/// Position in a scenario file, counted from one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Line number.
    pub line: usize,
    /// Column number in characters.
    pub column: usize,
}

/// One statement with its position and its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Start of the statement.
    pub position: Position,
    /// Statement as it is written in the file, for the transcript.
    pub text: String,
    /// Parsed statement.
    pub statement: Statement,
}

/// Parsed content of one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Describes a part of the cluster before the start.
    Setup(Setup),
    /// Starts the cluster and waits until all processes are ready.
    Start,
    /// Publishes an edit of the configuration, which must be accepted.
    Publish(Publication),
    /// Publishes two edits concurrently, based on the same version.
    Race(Publication, Publication),
    /// Gives a second name to a VM or an engine that is determined only while the cluster runs.
    Alias(Alias),
    /// Sends requests without waiting for their answers.
    SendRequests(SendRequests),
    /// Sends requests, and sends them again as long as one is refused as not run, until every
    /// answer is complete.
    Insist(SendRequests),
    /// Waits until the answers of the requests with a name have begun.
    AwaitBegun(String),
    /// Waits until a VM's process has exited, which must be with this exit code.
    AwaitExit(String, i32),
    /// Waits until the requests with a name have ended, all of them with this ending.
    AwaitEnd(String, Ending),
    /// Injects a fault, given by the words of the statement, into a stand-in.
    Fault(String, Vec<String>),
    /// Trims all records of a stream of the log.
    Trim(String),
    /// Kills, freezes, wakes, terminates or restarts a process.
    Process(ProcessVerb, String),
    /// Changes the state of a VM or an upstream on the platform's VM list.
    List(String, ListedState),
    /// Checks a condition once.
    Expect(Condition),
    /// Waits until a condition holds, at most for a number of polls; if none, the default.
    Eventually(Condition, Option<u32>),
    /// Checks that a condition holds at each of a number of consecutive polls.
    Always(Condition, u32),
}

/// One setup statement about the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Setup {
    /// Number of VMs.
    Vms(usize),
    /// Availability zones, to which VMs and upstreams are assigned in turn.
    Zones(Vec<String>),
    /// Group of engines.
    Engines(EngineGroup),
    /// Name of a plain service and the number of its instances.
    Service(String, usize),
    /// Setting of all daemons: section, key and value.
    Setting(String, String, String),
    /// Command line flag of all stand-ins of one kind, without its dashes, and its value.
    Standin(StandinKind, String, String),
}

/// Group of engines with the same options.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineGroup {
    /// Name of the group.
    pub group: String,
    /// Number of engines in the group.
    pub count: usize,
    /// Whether the engines refuse orders with a fencing token lower than one they have seen.
    pub checks_fence: bool,
    /// Accelerator memory of each engine in bytes; none for the stand-in's default.
    pub memory_bytes: Option<u64>,
    /// Slots in the batch of each engine; none for the stand-in's default.
    pub slots: Option<u32>,
}

/// Kind of a stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StandinKind {
    /// Append-only log.
    Log,
    /// Weight store.
    Weights,
    /// VM list of the platform.
    VmList,
    /// Model engine.
    Engine,
    /// Instance of a plain service.
    Service,
}

/// Edit of the configuration and the VM at which it is published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Publication {
    /// Edit to publish.
    pub edit: ConfigEdit,
    /// VM at which it is published; the first one if several are selected.
    pub selector: VmSelector,
}

/// Second name for a VM or an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Alias {
    /// Second name.
    pub name: String,
    /// Process that the name stands for.
    pub role: AliasRole,
    /// Model whose last accepted load intent determines the process.
    pub model: String,
}

/// Role of a process in the last accepted load intent of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AliasRole {
    /// VM that proposed the intent and sends the load order.
    Proposer,
    /// Engine that is to load the model.
    Engine,
}

/// VMs to which a statement applies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VmSelector {
    /// Every running VM: not killed, frozen or terminated.
    All,
    /// First running VM that is not the named one.
    Not(String),
    /// VM with this name, whether or not it runs.
    Vm(String),
}

/// One request or several equal ones to each selected VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendRequests {
    /// Name by which later statements refer to the requests.
    pub name: String,
    /// Number of requests to each selected VM.
    pub count: u32,
    /// VMs to which the requests are sent.
    pub selector: VmSelector,
    /// Content of the requests.
    pub work: Work,
    /// Request class; none for the VM's default class.
    pub class: Option<String>,
    /// Timeout in milliseconds that the requests name; none to apply the class's target.
    pub timeout_ms: Option<u64>,
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Body of a call, if any; completions ignore it.
    pub body: Option<String>,
}

/// Content of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// Completion by a model.
    Completion {
        /// Name of the model.
        model: String,
        /// Number of tokens of the answer.
        tokens: u32,
        /// Whether the answer is to be streamed.
        stream: bool,
    },
    /// Call to a plain service.
    Call {
        /// Name of the service.
        service: String,
        /// HTTP method.
        method: String,
        /// Path below the service's prefix.
        path: String,
    },
}

/// Pattern for the outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Complete answer, with this status or with any success status.
    Whole(Option<u16>),
    /// Refusal in place of an answer.
    Refused(RefusalPattern),
    /// Answer that begins and then breaks off in a way that the caller recognises.
    Cut(RefusalPattern),
    /// No answer, or an answer that breaks off without a refusal, since the VM is gone.
    Lost,
    /// Complete answer with a success status, or a refusal.
    Answered,
    /// Any outcome.
    Ended,
}

/// Pattern for a refusal. A field that is none matches every value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RefusalPattern {
    /// Machine-readable reason.
    pub reason: Option<String>,
    /// Whether the request ran: `not_run`, `ran` or `unknown`.
    pub ran: Option<String>,
}

/// Operation on a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessVerb {
    /// Kills the process with SIGKILL.
    Kill,
    /// Suspends the process with SIGSTOP.
    Freeze,
    /// Resumes a frozen process with SIGCONT.
    Wake,
    /// Has the process drain and exit, with SIGTERM.
    Terminate,
    /// Kills the process if it runs, and starts it again.
    Restart,
}

/// State of an entry on the platform's VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// The VM or upstream runs.
    Live,
    /// The VM or upstream is being removed.
    Leaving,
    /// The VM or upstream has been removed.
    Gone,
}

/// Comparison of a measure with a number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// Number to read.
    pub measure: Measure,
    /// Values for which the condition holds.
    pub comparison: Comparison,
}

/// Set of values that a measure may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// Exactly the number of running VMs.
    Everywhere,
    /// At most this number.
    AtMost(u64),
    /// At least this number.
    AtLeast(u64),
    /// Exactly this number.
    Exactly(u64),
}

/// Number that is read from the stand-ins, the log, the VMs or the callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Measure {
    /// Number counted by one engine, or its sum over all engines.
    Engine(EngineMeasure, Option<String>),
    /// Number that concerns a model, for one engine or over all engines.
    Model(ModelMeasure, String, Option<String>),
    /// Calls with a method and path that ran at the plain services.
    Calls(String),
    /// Calls with an idempotency key that ran at the plain services.
    KeyCalls(String),
    /// Number of times that upstreams ran the requests with a name.
    Runs(String),
    /// Number of requests with a name that have ended with an ending.
    Endings(String, Ending),
    /// Number of publications of the last race that were accepted.
    RaceAccepted,
    /// Number of publications of the last race that were rejected.
    RaceRejected,
    /// Number of running VMs on which an edit is in force.
    InForce(ConfigEdit),
    /// Number of different configuration versions in force on the running VMs.
    ConfigVersions,
    /// Number of pairs of a running VM and a member whose replayed state it finds to differ from
    /// its own.
    Diverged,
    /// Number of running VMs that send new requests to an upstream.
    Accepting(String),
    /// Number of requests that an upstream has received.
    Received(String),
    /// Number of running VMs that report that they are ready.
    Ready,
    /// Number of other running VMs that see a VM in a state.
    Seen(String, MemberState),
    /// Number of records on the control stream whose replay gives the verdict with a code.
    Verdicts(String),
    /// Number of requests in progress at a VM.
    InProgress(String),
    /// Number of records at the end of a stream that no complete snapshot on the log covers.
    Unsnapshotted(String),
    /// Sum of the samples of one VM's metrics whose name and labels begin with a text.
    Metric(String, String),
}

/// Number that a stand-in engine counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineMeasure {
    /// Load orders received.
    LoadOrders,
    /// Unload orders received.
    UnloadOrders,
    /// Orders refused, whatever the reason.
    RefusedOrders,
    /// Number of times that the resident models exceeded the memory.
    Overcommitted,
    /// Memory that resident models take now, in bytes.
    HeldBytes,
}

/// Number that concerns one model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ModelMeasure {
    /// Loads that took effect on engines.
    Loads,
    /// Engines on which the model is loaded now.
    Loaded,
    /// Engines on which the model takes memory now, loaded or not.
    Resident,
    /// Load intents on the control stream that replay accepted.
    Decided,
    /// Load intents on the control stream, accepted or not.
    Proposed,
    /// Running VMs that see a loaded replica.
    Routable,
}
