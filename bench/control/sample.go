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

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// traffic is the part of an expvar map that counts bytes.
type traffic struct {
	In  int64 `json:"bytes_in"`
	Out int64 `json:"bytes_out"`
}

func (t traffic) total() int64 { return t.In + t.Out }

// debugVars is what is read of a daemon's /debug/vars.
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

// sample is one daemon at one moment. Sizes are bytes.
type sample struct {
	at      time.Time
	cpu     time.Duration
	rss     int64
	threads int64
	vars    debugVars
}

func (f *deployment) sampleAll(ctx context.Context) ([]sample, error) {
	var out []sample
	for _, d := range f.daemons {
		s, err := f.sample(ctx, d)
		if err != nil {
			return nil, fmt.Errorf("sample %s: %w", d.Name, err)
		}
		out = append(out, s)
	}
	return out, nil
}

func (f *deployment) sample(ctx context.Context, d *proc.Process) (s sample, err error) {
	s.at = time.Now()
	if s.cpu, err = cpuTime(d.PID()); err != nil {
		return s, err
	}
	if s.rss, err = statusField(d.PID(), "VmRSS:"); err != nil {
		return s, err
	}
	s.rss <<= 10 // from KiB
	if s.threads, err = statusField(d.PID(), "Threads:"); err != nil {
		return s, err
	}
	return s, f.call(ctx, http.MethodGet, d.Address, "/debug/vars", nil, &s.vars)
}

// cpuTime returns the user and system time of a process so far.
func cpuTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("processor time: %w", err)
	}
	return parseStat(data)
}

// The fields of /proc/<pid>/stat after the program's name in parentheses.
const (
	userField   = 11
	systemField = 12
)

func parseStat(data []byte) (time.Duration, error) {
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	if len(fields) <= systemField {
		return 0, api.Errorf(api.CodeInternal, "stat has %d fields", len(fields))
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

// loadAverage returns the machine's load average of one minute.
func loadAverage() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	load, _ := strconv.ParseFloat(strings.Fields(string(data))[0], 64)
	return load
}
