package batch

import (
	"cmp"
	"slices"

	"dotterelmount.example/api"
)

// Reward is an outstanding reward call: the text of its item is complete and the item
// has no score.
type Reward struct {
	ItemKey
	Customer string // of the job
	Scorer   *Scorer
	// Daemon ran the item to its end; empty: unknown.
	Daemon api.DaemonID
	// Failures is the number of failure responses so far.
	Failures int
}

// Rewards returns the outstanding reward calls, oldest job first. The caller must not
// modify the slice.
func (s *State) Rewards() []Reward {
	if s.rewards == nil && len(s.unscored) > 0 {
		s.rewards = make([]Reward, 0, len(s.unscored))
		for _, i := range s.unscored {
			s.rewards = append(s.rewards, Reward{
				ItemKey: ItemKey{i.job.job.ID, i.item().ID}, Customer: i.job.job.Customer, Scorer: i.item().Scorer, Daemon: i.rewardDaemon, Failures: i.rewardFailures,
			})
		}
	}
	return s.rewards
}

// compareUnscored orders items with a complete text: the oldest job first.
func compareUnscored(a, b *itemState) int {
	return cmp.Or(cmp.Compare(a.job.acceptedAt, b.job.acceptedAt), cmp.Compare(a.index, b.index))
}

func (s *State) addUnscored(i *itemState) {
	if index, ok := slices.BinarySearchFunc(s.unscored, i, compareUnscored); !ok {
		s.unscored, s.rewards = slices.Insert(s.unscored, index, i), nil
	}
}

func (s *State) removeUnscored(i *itemState) {
	if index, ok := slices.BinarySearchFunc(s.unscored, i, compareUnscored); ok {
		s.unscored, s.rewards = slices.Delete(s.unscored, index, index+1), nil
	}
}

// findUnscored returns an open item with a complete text, or nil.
func (s *State) findUnscored(job JobID, item ItemID) *itemState {
	i := s.findOpenItem(job, item)
	if i == nil || !i.textDone {
		return nil
	}
	return i
}

func (s *State) scoreItem(r *ItemScored) bool {
	i := s.findUnscored(r.Job, r.Item)
	if i == nil || r.Score == "" {
		return false
	}
	i.score = r.Score
	s.listResult(i, ItemCompleted)
	return true
}

func (s *State) failReward(r *RewardFailed) bool {
	i := s.findUnscored(r.Job, r.Item)
	if i == nil {
		return false
	}
	i.rewardFailures++
	s.rewards = nil
	if i.rewardFailures >= max(i.job.job.MaxAttempts, i.item().Scorer.MaxAttempts) {
		s.listResult(i, ItemErrored)
	}
	return true
}
