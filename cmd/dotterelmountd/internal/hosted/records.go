package hosted

import (
	"context"
	"time"

	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/batch/batchcodec"
	"dotterelmount.example/lib/batch/replay"
	"dotterelmount.example/lib/journal"
	"dotterelmount.example/platform/store"
	"dotterelmount.example/server/chunks"
	"dotterelmount.example/server/committer"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

func (n *Node) startCommitter(j journal.Journal, name, process string) *committer.Committer {
	cfg := committerConfig
	cfg.Name, cfg.Producer = name, process
	cfg.MaxRecordBytes, cfg.MaxAppendBytes = n.settings.MaxRecordBytes, n.settings.MaxAppendBytes
	return committer.Start(n.system, j, cfg, n.log.Logger)
}

// startChunks starts what keeps chunks apart from the journal.
func (n *Node) startChunks(st *store.Client, process string) {
	var parts []journal.Fetcher
	for i := range replay.ChunkPartitions {
		parts = append(parts, st.Partition(replay.ChunkTopic, i))
	}
	n.chunkReader = chunks.Start(n.system, parts, chunksConfig)
	n.chunkPartition = int(xxhash.Sum64String(n.settings.Daemon) % replay.ChunkPartitions)
	n.chunkCommitter = n.startCommitter(st.Partition(replay.ChunkTopic, n.chunkPartition), replay.ChunkTopic, process)
}

// commitRecord appends a record of the journal and returns its offset in the fold.
func (n *Node) commitRecord(ctx context.Context, r batch.Record) (batch.Offset, error) {
	data, err := batchcodec.Encode(r)
	if err != nil {
		return 0, err
	}
	at, err := n.committer.CommitWithRetry(ctx, data)
	return batch.Offset(at.LastOffset()) + 1, err
}

// chunkRef names the chunk at a place in this daemon's partition.
func (n *Node) chunkRef(at committer.RecordRange, bytes int) batch.ChunkRef {
	return batch.ChunkRef{Partition: n.chunkPartition, FirstOffset: uint64(at.FirstOffset), Records: at.Parts, Bytes: bytes}
}

// storeText keeps a chunk of text, then the record that names it.
func (n *Node) storeText(ctx context.Context, r *batch.TextAdded, data string) (batch.Offset, error) {
	if r.EventCount > 0 {
		at, err := n.chunkCommitter.CommitWithRetry(ctx, []byte(data))
		if err != nil {
			return 0, err
		}
		r.Chunk = n.chunkRef(at, len(data))
	}
	return n.commitRecord(ctx, r)
}

// postText does the same without waiting. A record that can't be queued leaves
// a gap, after which the rest of its run is not taken.
func (n *Node) postText(r *batch.TextAdded, data string) error {
	return n.chunkCommitter.PostWithCallback([]byte(data), func(at committer.RecordRange) {
		r.Chunk = n.chunkRef(at, len(data))
		if err := n.propose(r, 0); err != nil {
			n.log.Warn("text not queued", zap.String("item", string(r.Item)), zap.Error(err))
		}
	})
}

// propose appends a record without waiting, or drops it when its append has
// not begun in time; zero: never.
func (n *Node) propose(r batch.Record, within time.Duration) error {
	data, err := batchcodec.Encode(r)
	if err != nil {
		return err
	}
	return n.committer.Post(data, within)
}
