package ledger

import (
	"slices"

	"dotterelmount.example/api"
)

// ClaimRetentionMillis is how long a claim is remembered, in milliseconds of the
// log's time. A key may be used anew after that; API.md tells callers so.
const ClaimRetentionMillis = 24 * 60 * 60 * 1000

// ClaimKey identifies a once-only request; each customer has its own keys.
type ClaimKey struct {
	Customer api.CustomerID
	Key      string
}

// ClaimState is what the log says of a once-only request.
type ClaimState struct {
	Customer    api.CustomerID  `json:"customer"`
	Key         string          `json:"key"`
	Winner      api.RecordID    `json:"winner"`
	Offset      api.Offset      `json:"offset"`
	TimeMillis  int64           `json:"time_millis"`
	Holder      api.DaemonID    `json:"holder"`
	Fingerprint api.Fingerprint `json:"fingerprint"`
	Settled     bool            `json:"settled"`
	// Released claims were settled as not run: another record may win the key.
	Released      bool        `json:"released,omitempty"`
	Outcome       api.Outcome `json:"outcome,omitempty"`
	Status        int         `json:"status,omitempty"`
	Response      []byte      `json:"answer,omitempty"`
	ResponseBytes int         `json:"answer_bytes,omitempty"`
	ContentType   string      `json:"content_type,omitempty"`
}

// ClaimsFSM folds the claims stream.
type ClaimsFSM struct {
	through api.Offset
	held    map[ClaimKey]ClaimState
	order   []ClaimKey // by offset of the winning claim, for expiry
}

// NewClaimsFSM returns the fold before the first record.
func NewClaimsFSM() *ClaimsFSM { return &ClaimsFSM{held: make(map[ClaimKey]ClaimState)} }

// AppliedOffset returns the offset of the last record applied.
func (c *ClaimsFSM) AppliedOffset() api.Offset { return c.through }

// Skip passes over a record that could not be decoded.
func (c *ClaimsFSM) Skip(offset api.Offset) { c.through = offset }

// Get returns the state of a key's claim.
func (c *ClaimsFSM) Get(k ClaimKey) (ClaimState, bool) {
	s, ok := c.held[k]
	return s, ok
}

// Apply folds the next record in. A claim is won by the first record of its
// key; the verdict of every other one is CodeDuplicateKey.
func (c *ClaimsFSM) Apply(offset api.Offset, timeMillis int64, r api.Record) Verdict {
	c.through = offset
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
	if old, ok := c.held[k]; ok {
		if old.Released && old.Winner != id {
			c.remove(k)
			return c.claim(offset, timeMillis, id, b)
		}
		if old.Winner == id && !old.Released { // the same append repeated
			return nil
		}
		return api.Errorf(api.CodeDuplicateKey, "key %q of customer %q was claimed at offset %d", b.Key, b.Customer, old.Offset)
	}
	c.held[k] = ClaimState{
		Customer: b.Customer, Key: b.Key, Winner: id, Offset: offset, TimeMillis: timeMillis,
		Holder: b.Holder, Fingerprint: b.Fingerprint,
	}
	c.order = append(c.order, k)
	return nil
}

func (c *ClaimsFSM) settle(b api.Settle) error {
	k := ClaimKey{Customer: b.Customer, Key: b.Key}
	s, ok := c.held[k]
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
	c.held[k] = s
	return nil
}

func (c *ClaimsFSM) remove(k ClaimKey) {
	delete(c.held, k)
	c.order = slices.DeleteFunc(c.order, func(o ClaimKey) bool { return o == k })
}

func (c *ClaimsFSM) expireClaims(nowMillis int64) {
	for len(c.order) > 0 && c.held[c.order[0]].TimeMillis < nowMillis-ClaimRetentionMillis {
		delete(c.held, c.order[0])
		c.order = c.order[1:]
	}
}

// ClaimsImage is the state of the claims fold as a checkpoint carries it.
type ClaimsImage struct {
	AppliedOffset api.Offset   `json:"through"`
	Claims        []ClaimState `json:"held"`
}

// Image returns a copy of the fold's state.
func (c *ClaimsFSM) Image() ClaimsImage {
	img := ClaimsImage{AppliedOffset: c.through}
	for _, k := range c.order {
		img.Claims = append(img.Claims, c.held[k])
	}
	return img
}

// ClaimsFSMFromImage returns the fold that an image was taken of.
func ClaimsFSMFromImage(img ClaimsImage) *ClaimsFSM {
	c := NewClaimsFSM()
	c.through = img.AppliedOffset
	for _, s := range img.Claims {
		k := ClaimKey{Customer: s.Customer, Key: s.Key}
		c.held[k] = s
		c.order = append(c.order, k)
	}
	return c
}
