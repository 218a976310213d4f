package fleet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"dotterelmount.example/bench/proc"
	"dotterelmount.example/lib/settings"
	"github.com/goccy/go-yaml"
)

// seedPeerCount is the number of other daemons in each daemon's settings.
const seedPeerCount = 2

// StartDaemons starts n daemons on loopback, each with some of the others as
// peers, and waits until all are ready. configure completes the settings of daemon
// i, whose name, addresses and peers are already set.
// Errors: *proc.StartError, CodeNotReady, those of writing a file.
func StartDaemons(ctx context.Context, r *proc.Runner, n int, configure func(i int, s *settings.Settings)) ([]*proc.Process, error) {
	addresses, err := proc.FreeAddresses(2 * n)
	if err != nil {
		return nil, err
	}
	callers, peers := addresses[:n], addresses[n:]
	var daemons []*proc.Process
	for i := range n {
		s := settings.Defaults()
		s.Daemon = fmt.Sprintf("daemon-%d", i+1)
		s.Listen = settings.Listen{Callers: callers[i], Peers: peers[i]}
		for k := 1; k <= min(seedPeerCount, n-1); k++ {
			s.Peers = append(s.Peers, peers[(i+k)%n])
		}
		configure(i, s)
		file := filepath.Join(r.OutDir(), s.Daemon+".yaml")
		if err := WriteYAML(file, s); err != nil {
			return daemons, err
		}
		d, err := r.Start(ctx, s.Daemon, "dotterelmountd", "--settings", file)
		if err != nil {
			return daemons, err
		}
		daemons = append(daemons, d)
	}
	for _, d := range daemons {
		if err := AwaitReady(ctx, d); err != nil {
			return daemons, err
		}
	}
	return daemons, nil
}

// WriteYAML writes a value to a file as YAML. Errors: those of encoding and writing.
func WriteYAML(path string, v any) error {
	data, err := yaml.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	if err := os.WriteFile(path, data, 0o644); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}
