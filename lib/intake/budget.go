package intake

import "time"

// Phase is what a connection does.
type Phase int

// Phases of a connection.
const (
	Waiting Phase = iota // for a request, or for the rest of its head
	Reading              // a body
	Running              // a request is being handled
	Writing              // an answer
)

// Account is what a connection uses. Only its Budget changes it.
type Account struct {
	Owner    any // for the caller of Budget
	edge     *Edge
	phase    Phase
	held     int64
	answer   bool      // held is an answer
	progress time.Time // of the last byte or change of phase
	began    time.Time // of the phase
	moved    int64     // bytes since then
	closed   bool
	index    int // in the edge's accounts
}

// Edge is an address on which connections are accepted.
type Edge struct {
	limit    int // connections
	accounts []*Account
}

// Budget is shared by all edges of a daemon. It is not safe for concurrent use.
type Budget struct {
	plan    Plan
	edges   []*Edge
	used    int64
	answers int64 // part of used
}

// NewBudget returns a budget without edges.
func NewBudget(p Plan) *Budget { return &Budget{plan: p} }

// NewEdge adds an edge with a limit on its connections.
func (b *Budget) NewEdge(limit int) *Edge {
	e := &Edge{limit: limit}
	b.edges = append(b.edges, e)
	return e
}

// Used returns the bytes that are held.
func (b *Budget) Used() int64 { return b.used }

// Open adds a connection. At the edge's limit, the one that has waited longest for a request
// or stalled longest makes room: victim is to be closed. Without one, Open returns no account.
func (b *Budget) Open(e *Edge, owner any, now time.Time) (a, victim *Account) {
	if len(e.accounts) >= e.limit {
		for _, other := range e.accounts {
			if other.yields(now) && (victim == nil || other.progress.Before(victim.progress)) {
				victim = other
			}
		}
		if victim == nil {
			return nil, nil
		}
		b.Close(victim)
	}
	a = &Account{Owner: owner, edge: e, progress: now, began: now, index: len(e.accounts)}
	e.accounts = append(e.accounts, a)
	return a, victim
}

// yields reports whether the connection may be closed for another one.
func (a *Account) yields(now time.Time) bool {
	return a.phase == Waiting || a.stalled(now)
}

// stalled reports whether the connection makes no progress, or takes longer for a body than any
// caller waits for its answer.
func (a *Account) stalled(now time.Time) bool {
	return a.phase != Running && now.Sub(a.progress) >= StallTime || a.phase == Reading && now.Sub(a.began) >= MaxStall
}

// Close removes a connection. It may be called again.
func (b *Budget) Close(a *Account) {
	if a.closed {
		return
	}
	b.Release(a)
	a.closed = true
	accounts := a.edge.accounts
	last := accounts[len(accounts)-1]
	accounts[a.index], last.index = last, a.index
	accounts[len(accounts)-1] = nil
	a.edge.accounts = accounts[:len(accounts)-1]
}

// Enter notes that a connection enters a phase.
func (b *Budget) Enter(a *Account, p Phase, now time.Time) {
	a.phase, a.progress, a.began, a.moved = p, now, now, 0
}

// Moved notes that bytes were read or written.
func (b *Budget) Moved(a *Account, n int, now time.Time) {
	a.progress, a.moved = now, a.moved+int64(n)
}

// Claim lets a connection hold n bytes more, before they are read. If there is no room, the
// connections that have stalled longest make room: the victims are to be closed. ok is false
// if that is not enough; the request must then be refused.
func (b *Budget) Claim(a *Account, n int64, now time.Time) (victims []*Account, ok bool) {
	if a.closed || !b.fitsAlone(a.held+n) {
		return nil, false
	}
	stalled, answers := b.heldByStalled(a, now)
	if !b.fits(a, n, stalled, answers) {
		return nil, false
	}
	for !b.fits(a, n, 0, 0) {
		v := b.longestStalled(a, now)
		if v == nil {
			return victims, false
		}
		b.Close(v)
		victims = append(victims, v)
	}
	a.held += n
	b.used += n
	if a.phase == Writing {
		a.answer = true
		b.answers += n
	}
	return victims, true
}

// NeverFits reports whether a request of n bytes is refused even if it is the only one.
func (b *Budget) NeverFits(n int64) bool { return !b.fitsAlone(n) }

func (b *Budget) fitsAlone(n int64) bool { return n <= b.plan.Alone }

// fits reports whether a may hold n bytes more once others have given back freed bytes, of which
// freedAnswers are of answers.
func (b *Budget) fits(a *Account, n, freed, freedAnswers int64) bool {
	limit, used, answers := b.plan.Bytes, b.used-freed, b.answers-freedAnswers
	if a.phase == Writing && answers > 0 && answers+n > b.plan.Answers {
		return false
	}
	switch {
	case a.held+n <= smallBytes:
		limit += b.plan.Reserve
	case used-a.held <= b.plan.Reserve:
		limit = max(limit, b.plan.Alone)
	}
	return used+n <= limit
}

// heldByStalled returns the bytes, and those of answers among them, that could make room for a
// claim of a.
func (b *Budget) heldByStalled(a *Account, now time.Time) (held, answers int64) {
	for _, e := range b.edges {
		for _, other := range e.accounts {
			if !b.mayYield(other, a, now) {
				continue
			}
			held += other.held
			if other.answer {
				answers += other.held
			}
		}
	}
	return held, answers
}

// mayYield reports whether a connection may be closed for a claim of a. If that is one for an
// answer, only other answers make room.
func (b *Budget) mayYield(other, a *Account, now time.Time) bool {
	return other != a && other.held > 0 && other.stalled(now) && (a.phase != Writing || other.answer)
}

// longestStalled returns the account other than a that holds bytes and has made no progress
// for the longest time, if that is StallTime at least. If a needs room for an answer, it is
// that of another answer.
func (b *Budget) longestStalled(a *Account, now time.Time) *Account {
	var found *Account
	for _, e := range b.edges {
		for _, other := range e.accounts {
			if !b.mayYield(other, a, now) {
				continue
			}
			if found == nil || other.progress.Before(found.progress) {
				found = other
			}
		}
	}
	return found
}

// Release returns all that a connection holds.
func (b *Budget) Release(a *Account) {
	b.used -= a.held
	if a.answer {
		b.answers -= a.held
	}
	a.held, a.answer = 0, false
}

// Sweep returns the connections whose body or answer has stopped or is slower than MinRate;
// they are to be closed.
func (b *Budget) Sweep(now time.Time) []*Account {
	var out []*Account
	for _, e := range b.edges {
		for _, a := range e.accounts {
			if (a.phase == Reading || a.phase == Writing) && tooSlow(a, now) {
				out = append(out, a)
			}
		}
	}
	for _, a := range out {
		b.Close(a)
	}
	return out
}

func tooSlow(a *Account, now time.Time) bool {
	if now.Sub(a.progress) >= MaxStall {
		return true
	}
	counted := now.Sub(a.began) - MaxStall
	return counted > 0 && float64(a.moved) < MinRate*counted.Seconds()
}
