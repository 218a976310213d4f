package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/bench/proc"
)

// clockTick is the unit of CPU time in /proc.
const clockTick = 10 * time.Millisecond

// traffic holds the byte counters of an expvar map.
type traffic struct {
	In  int64 `json:"bytes_in"`
	Out int64 `json:"bytes_out"`
}

func (t traffic) total() int64 { return t.In + t.Out }

// debugVars holds the values read from a daemon's /debug/vars.
type debugVars struct {
	Peer traffic `json:"peer"`
	Log  struct {
		traffic
		Appends int64 `json:"appends"`
		Reads   int64 `json:"reads"`
	} `json:"platform_log"`
	HostList traffic `json:"host_list"`
	Memory   struct {
		HeapAlloc  int64 `json:"HeapAlloc"`
		StackInuse int64 `json:"StackInuse"`
		TotalAlloc int64 `json:"TotalAlloc"`
	} `json:"memstats"`
}

// sample is the resource usage of a daemon at a point in time. Sizes are in bytes.
type sample struct {
	takenAt time.Time
	cpu     time.Duration // user and system time since the start of the process
	rss     int64
	threads int64
	vars    debugVars
}

// sampleAll samples all daemons.
func (d *deployment) sampleAll(ctx context.Context) ([]sample, error) {
	var out []sample
	for _, daemon := range d.daemons {
		s, err := d.sample(ctx, daemon)
		if err != nil {
			return nil, fmt.Errorf("sample %s: %w", daemon.Name, err)
		}
		out = append(out, s)
	}
	return out, nil
}

func (d *deployment) sample(ctx context.Context, daemon *proc.Process) (s sample, err error) {
	s.takenAt = time.Now()
	if s.cpu, err = cpuTime(daemon.PID()); err != nil {
		return s, err
	}
	if s.rss, err = statusField(daemon.PID(), "VmRSS:"); err != nil {
		return s, err
	}
	s.rss <<= 10 // from KiB
	if s.threads, err = statusField(daemon.PID(), "Threads:"); err != nil {
		return s, err
	}
	return s, d.call(ctx, http.MethodGet, daemon.Address, "/debug/vars", nil, &s.vars)
}

// cpuTime returns the user and system time used by a process.
func cpuTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("CPU time: %w", err)
	}
	return parseStat(data)
}

// Field indexes in /proc/PID/stat, counted after the program's name, which is in
// parentheses.
const (
	userField   = 11
	systemField = 12
)

// parseStat returns the user and system time in the content of /proc/PID/stat.
// Errors: CodeInternal for missing fields; parse errors as they are.
func parseStat(data []byte) (time.Duration, error) {
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	if len(fields) <= systemField {
		return 0, api.Errorf(api.CodeInternal, "process stat has only %d fields", len(fields))
	}
	user, err := strconv.ParseInt(fields[userField], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("user time: %w", err)
	}
	system, err := strconv.ParseInt(fields[systemField], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("system time: %w", err)
	}
	return time.Duration(user+system) * clockTick, nil
}

// statusField returns a number from /proc/PID/status by the name of its line.
func statusField(pid int, name string) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("process status: %w", err)
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == name {
			return strconv.ParseInt(fields[1], 10, 64)
		}
	}
	return 0, api.Errorf(api.CodeInternal, "process status has no %s", name)
}

// loadAverage returns the machine's load average over one minute, zero if it can't
// be read.
func loadAverage() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	load, _ := strconv.ParseFloat(strings.Fields(string(data))[0], 64)
	return load
}
