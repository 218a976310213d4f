package ledger

import (
	"slices"

	"dotterelmount.example/api"
)

// ClaimRetentionMillis is how long a claim is remembered, in milliseconds of log
// time. After that its key can be claimed again, as docs/API.md documents.
const ClaimRetentionMillis = 24 * 60 * 60 * 1000

// ClaimKey identifies a once-only request. Keys are scoped to the customer.
type ClaimKey struct {
	Customer api.CustomerID
	Key      string
}

// ClaimState is the state of a once-only request.
type ClaimState struct {
	Customer    api.CustomerID  `json:"customer"`
	Key         string          `json:"key"`
	Winner      api.RecordID    `json:"winner"`
	Offset      api.Offset      `json:"offset"`
	TimeMillis  int64           `json:"time_millis"`
	Holder      api.DaemonID    `json:"holder"`
	Fingerprint api.Fingerprint `json:"fingerprint"`
	Settled     bool            `json:"settled"`
	// Released is true if the claim was settled as not run. Another record may
	// then win the key.
	Released      bool        `json:"released,omitempty"`
	Outcome       api.Outcome `json:"outcome,omitempty"`
	Status        int         `json:"status,omitempty"`
	Response      []byte      `json:"answer,omitempty"`
	ResponseBytes int         `json:"answer_bytes,omitempty"`
	ContentType   string      `json:"content_type,omitempty"`
}

// ClaimsFSM is the state machine of the claims stream. Create it with
// NewClaimsFSM. It is not safe for concurrent use.
type ClaimsFSM struct {
	appliedOffset api.Offset
	claims        map[ClaimKey]ClaimState
	keyOrder      []ClaimKey // in offset order of the winning claims, for expiry
}

// NewClaimsFSM returns the state machine before the first record.
func NewClaimsFSM() *ClaimsFSM { return &ClaimsFSM{claims: make(map[ClaimKey]ClaimState)} }

// AppliedOffset returns the offset of the last record applied.
func (c *ClaimsFSM) AppliedOffset() api.Offset { return c.appliedOffset }

// Skip advances the applied offset past a record that could not be decoded.
func (c *ClaimsFSM) Skip(offset api.Offset) { c.appliedOffset = offset }

// Get returns the state of the claim of a key; false if there is none.
func (c *ClaimsFSM) Get(k ClaimKey) (ClaimState, bool) {
	s, ok := c.claims[k]
	return s, ok
}

// Apply applies the next record. timeMillis is its log time, in Unix
// milliseconds. The first Claim record of a key wins it; the verdict on any other
// is CodeDuplicateKey until the claim is released or expires.
func (c *ClaimsFSM) Apply(offset api.Offset, timeMillis int64, r api.Record) Verdict {
	c.appliedOffset = offset
	c.expireClaims(timeMillis)
	v := Verdict{ID: r.ID, Offset: offset}
	switch b := r.Body.(type) {
	case api.Claim:
		v.Err = c.claim(offset, timeMillis, r.ID, b)
	case api.Settle:
		v.Err = c.settle(b)
	case api.Checkpoint:
	default:
		v.Err = api.Errorf(api.CodeInvalid, "record of type %T in the claims stream", r.Body)
	}
	return v
}

func (c *ClaimsFSM) claim(offset api.Offset, timeMillis int64, id api.RecordID, b api.Claim) error {
	k := ClaimKey{Customer: b.Customer, Key: b.Key}
	if old, ok := c.claims[k]; ok {
		if old.Released && old.Winner != id {
			c.remove(k)
			return c.claim(offset, timeMillis, id, b)
		}
		if old.Winner == id && !old.Released { // the same record, appended twice
			return nil
		}
		return api.Errorf(api.CodeDuplicateKey, "key %q of customer %q was claimed at offset %d", b.Key, b.Customer, old.Offset)
	}
	c.claims[k] = ClaimState{
		Customer: b.Customer, Key: b.Key, Winner: id, Offset: offset, TimeMillis: timeMillis,
		Holder: b.Holder, Fingerprint: b.Fingerprint,
	}
	c.keyOrder = append(c.keyOrder, k)
	return nil
}

func (c *ClaimsFSM) settle(b api.Settle) error {
	k := ClaimKey{Customer: b.Customer, Key: b.Key}
	s, ok := c.claims[k]
	if !ok || s.Winner != b.Claim {
		return api.Errorf(api.CodeInvalid, "settles key %q, which claim %s does not hold", b.Key, b.Claim)
	}
	if s.Settled {
		return nil
	}
	if b.Outcome == api.OutcomeNotRun {
		s.Released = true
	}
	s.Settled, s.Outcome, s.Status = true, b.Outcome, b.Status
	s.Response, s.ResponseBytes, s.ContentType = b.Response, b.ResponseBytes, b.ContentType
	c.claims[k] = s
	return nil
}

func (c *ClaimsFSM) remove(k ClaimKey) {
	delete(c.claims, k)
	c.keyOrder = slices.DeleteFunc(c.keyOrder, func(o ClaimKey) bool { return o == k })
}

func (c *ClaimsFSM) expireClaims(nowMillis int64) {
	for len(c.keyOrder) > 0 && c.claims[c.keyOrder[0]].TimeMillis < nowMillis-ClaimRetentionMillis {
		delete(c.claims, c.keyOrder[0])
		c.keyOrder = c.keyOrder[1:]
	}
}

// ClaimsImage is the state of a ClaimsFSM in encodable form, for checkpoints.
type ClaimsImage struct {
	AppliedOffset api.Offset   `json:"through"`
	Claims        []ClaimState `json:"held"`
}

// Image returns a copy of the state.
func (c *ClaimsFSM) Image() ClaimsImage {
	img := ClaimsImage{AppliedOffset: c.appliedOffset}
	for _, k := range c.keyOrder {
		img.Claims = append(img.Claims, c.claims[k])
	}
	return img
}

// ClaimsFSMFromImage is the inverse of Image.
func ClaimsFSMFromImage(img ClaimsImage) *ClaimsFSM {
	c := NewClaimsFSM()
	c.appliedOffset = img.AppliedOffset
	for _, s := range img.Claims {
		k := ClaimKey{Customer: s.Customer, Key: s.Key}
		c.claims[k] = s
		c.keyOrder = append(c.keyOrder, k)
	}
	return c
}
