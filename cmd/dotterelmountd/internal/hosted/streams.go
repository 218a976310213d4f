package hosted

import (
	"context"
	"slices"
	"time"

	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/batch/batchcodec"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/ring"
	"dotterelmount.example/server/committer"
	"go.uber.org/zap"
)

// streamIndex implements relay.StreamIndex on the journal.
type streamIndex struct{ n *Node }

// Began implements relay.StreamIndex.
func (s *streamIndex) Began(ctx context.Context, q *opaque.Request, software string) {
	data, err := batchcodec.Encode(&batch.StreamBegan{Request: q.ID, Service: q.Service, Software: software, AtMillis: time.Now().UnixMilli()})
	stored := ring.NewSlot[struct{}]()
	if err == nil {
		err = s.n.committer.PostWithCallback(data, func(committer.RecordRange) { stored.Put(struct{}{}) })
	}
	if err == nil {
		waitCtx, cancel := context.WithTimeout(ctx, streamRecordWait)
		defer cancel()
		_, err = stored.Wait(waitCtx)
	}
	if err != nil {
		s.n.log.Info("stream begins before its software is stored", zap.String("request", string(q.ID)), zap.String("software", software), zap.Error(err))
	}
}

// Origin implements relay.StreamIndex.
func (s *streamIndex) Origin(ctx context.Context, q *opaque.Request) (opaque.StreamOrigin, error) {
	service, software, err := s.n.replica.Load().StreamOrigin(ctx, q.Service, q.Resumes)
	if err == nil && q.Resumes == "" && s.otherSoftwareServes(service, software) {
		err = &batch.UnknownStreamError{}
	}
	return opaque.StreamOrigin{Service: service, Software: software}, err
}

// otherSoftwareServes reports whether upstreams of another version are listed: they may have
// begun a stream whose record is not stored yet.
func (s *streamIndex) otherSoftwareServes(service, software string) bool {
	return slices.ContainsFunc(s.n.View().UpstreamsOf(service), func(u *directory.Upstream) bool { return u.Software != software })
}
