package api

// Streams of the platform's log that daemons share. Trainer streams are named
// by TrainerStream.
const (
	StreamConfig = "config"
	StreamClaims = "claims"
	// StreamTrainers names the trainers that have open steps.
	StreamTrainers = "trainers"
)

// TrainerStream returns the name of the stream that holds a trainer's steps and samples.
func TrainerStream(t TrainerID) string { return "trainer." + string(t) }

// Record is one entry of the config or claims stream before it has an offset.
type Record struct {
	ID            RecordID
	Actor         string   // who asked for it: an operator, or a daemon's own id
	AppendedBy    DaemonID // the daemon that appended it
	CreatedMillis int64    // wall clock of Via; informational, never compared across daemons
	Body          RecordBody
}

// RecordBody is the content of a record: one of the types below.
type RecordBody interface{ recordBody() }

// PublishPlanList puts a new plan list in force if Base is still in force.
type PublishPlanList struct {
	Base Revision `json:"base"`
	List PlanList `json:"list"`
}

// PublishUsageList puts a new usage list in force if Base is still in force.
type PublishUsageList struct {
	Base Revision  `json:"base"`
	List UsageList `json:"list"`
}

// MarkUpstream changes the mark of one upstream if Base is the revision of its
// current mark (zero if it never was marked).
type MarkUpstream struct {
	Base     Revision   `json:"base"`
	Upstream UpstreamID `json:"upstream"`
	Mark     Mark       `json:"mark"`
}

// AnnounceWeights puts a new weight version of a model in force if it is above
// the present one.
type AnnounceWeights struct {
	Model   ModelName     `json:"model"`
	Version WeightVersion `json:"version"`
}

// Strike reports that an upstream crashed while it ran a request of this
// fingerprint. Alone is true when no other request was in flight there.
type Strike struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Upstream    UpstreamID  `json:"upstream"`
	Alone       bool        `json:"alone"`
}

// LiftQuarantine clears the strikes of a fingerprint.
type LiftQuarantine struct {
	Fingerprint Fingerprint `json:"fingerprint"`
}

// Claim takes the right to run the once-only request with this key; the first
// claim of a key wins for as long as claims are remembered.
type Claim struct {
	Customer    CustomerID  `json:"customer"`
	Key         string      `json:"key"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Holder      DaemonID    `json:"holder"`
}

// Settle records how the holder's run of a claim ended. NotRun frees the key.
type Settle struct {
	Customer CustomerID `json:"customer"`
	Key      string     `json:"key"`
	Claim    RecordID   `json:"claim"` // id of the winning claim
	Outcome  Outcome    `json:"outcome"`
	Status   int        `json:"status"` // the upstream's HTTP-like status, zero if none
	Response []byte     `json:"answer,omitempty"`
	// ResponseBytes is the answer's length; an answer too long for the log is
	// left out, so that Answer is shorter.
	ResponseBytes int    `json:"answer_bytes,omitempty"`
	ContentType   string `json:"content_type,omitempty"`
}

// Checkpoint republishes the state that the records up to Through produce, so
// that a reader may start here after older records expired.
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
