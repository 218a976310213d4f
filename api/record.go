package api

// Streams of the platform's log that are shared by the daemons. TrainerStream
// names the streams of trainers.
const (
	StreamConfig = "config"
	StreamClaims = "claims"
	// StreamTrainers lists the trainers that have open steps.
	StreamTrainers = "trainers"
)

// TrainerStream returns the name of the stream of a trainer's steps and samples.
func TrainerStream(t TrainerID) string { return "trainer." + string(t) }

// Record is an entry of the config or claims stream before it has an offset.
type Record struct {
	ID            RecordID
	Actor         string   // the operator, or the ID of the daemon, that requested the change
	AppendedBy    DaemonID // the daemon that appended the record
	CreatedMillis int64    // wall clock of AppendedBy; informational, not comparable across daemons
	Body          RecordBody
}

// RecordBody is the content of a Record: one of the types below.
type RecordBody interface{ recordBody() }

// PublishPlanList activates a new plan list if Base is still the current revision.
type PublishPlanList struct {
	Base Revision `json:"base"`
	List PlanList `json:"list"`
}

// PublishUsageList activates a new usage list if Base is still the current revision.
type PublishUsageList struct {
	Base Revision  `json:"base"`
	List UsageList `json:"list"`
}

// MarkUpstream changes the mark of an upstream if Base is the revision of its
// current mark (zero if it was never marked).
type MarkUpstream struct {
	Base     Revision   `json:"base"`
	Upstream UpstreamID `json:"upstream"`
	Mark     Mark       `json:"mark"`
}

// AnnounceWeights activates a new weight version of a model if it is above the
// current one.
type AnnounceWeights struct {
	Model   ModelName     `json:"model"`
	Version WeightVersion `json:"version"`
}

// Strike reports that an upstream crashed while it ran a request with this
// fingerprint. Alone is true if no other request was in flight on the upstream.
type Strike struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Upstream    UpstreamID  `json:"upstream"`
	Alone       bool        `json:"alone"`
	// AtMillis is when the reporting daemon noticed the crash, in Unix milliseconds; 0:
	// unknown.
	AtMillis int64 `json:"at_millis,omitempty"`
}

// LiftQuarantine clears the strikes of a fingerprint.
type LiftQuarantine struct {
	Fingerprint Fingerprint `json:"fingerprint"`
}

// Claim acquires the right to run the once-only request with this key, which runs at
// most once. The first claim of a key wins until claims expire.
type Claim struct {
	Customer    CustomerID  `json:"customer"`
	Key         string      `json:"key"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Holder      DaemonID    `json:"holder"`
}

// Settle records how the holder's run of a claim ended. OutcomeNotRun releases
// the key.
type Settle struct {
	Customer CustomerID `json:"customer"`
	Key      string     `json:"key"`
	Claim    RecordID   `json:"claim"` // ID of the winning claim
	Outcome  Outcome    `json:"outcome"`
	Status   int        `json:"status"` // the upstream's HTTP status, zero if none
	Response []byte     `json:"answer,omitempty"`
	// ResponseBytes is the length of the full response. Response is empty if the
	// response is too long for the log.
	ResponseBytes int    `json:"answer_bytes,omitempty"`
	ContentType   string `json:"content_type,omitempty"`
}

// Checkpoint contains the state after the records up to AppliedOffset, so that a
// reader can start here when older records have expired.
type Checkpoint struct {
	AppliedOffset Offset `json:"through"`
	State         []byte `json:"state"`
}

func (PublishPlanList) recordBody()  {}
func (PublishUsageList) recordBody() {}
func (MarkUpstream) recordBody()     {}
func (AnnounceWeights) recordBody()  {}
func (Strike) recordBody()           {}
func (LiftQuarantine) recordBody()   {}
func (Claim) recordBody()            {}
func (Settle) recordBody()           {}
func (Checkpoint) recordBody()       {}
