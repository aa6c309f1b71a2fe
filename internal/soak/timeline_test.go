//go:build e2e

package soak

import (
	"bufio"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"
)

// timelineSpan is how long before and after the second start of a task the timeline shows
// what happened to the hosts.
const timelineSpan = 4 * time.Second

// hostEvents are the messages about a host that a timeline shows, workerEvents those about
// a worker.
var (
	hostEvents   = []string{"host stood still", "host lost", "host reached", "host starts"}
	workerEvents = []string{"worker adopted", "worker dropped", "poll"}
)

// containsAny reports whether the text contains any of the words between before and after.
func containsAny(text string, words []string, before, after string) bool {
	return slices.ContainsFunc(words, func(w string) bool { return strings.Contains(text, before+w+after) })
}

// logLine is a line of a host's log.
type logLine struct {
	host string
	at   time.Time
	text string
}

// readLogs returns the lines of all hosts in order of time.
func (f *fleet) readLogs() ([]logLine, error) {
	var lines []logLine
	for _, h := range f.hosts {
		file, err := os.Open(h.log.Name())
		if err != nil {
			return nil, err
		}
		scanner := bufio.NewScanner(file)
		scanner.Buffer(nil, 1<<20)
		for scanner.Scan() {
			stamp, text, _ := strings.Cut(strings.TrimPrefix(scanner.Text(), "time="), " ")
			if at, err := time.Parse(time.RFC3339Nano, stamp); err == nil {
				lines = append(lines, logLine{h.name, at, text})
			}
		}
		_ = file.Close()
		if err := scanner.Err(); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	return lines, nil
}

// logName is the name of a task in the logs: job/step/index.
func logName(task string) string {
	parts := strings.Split(task, ".")
	return parts[0] + "/" + parts[2] + "/" + parts[3]
}

var jobHost = regexp.MustCompile(`job_host=(\S+)`)

// explain names the owner and the host of the job of each run of an overlap, and writes
// what the hosts, the workers and the callers saw of it to a file.
func (f *fleet) explain(o overlap, others []logLine) (string, error) {
	lines, err := f.readLogs()
	if err != nil {
		return "", err
	}
	lines = append(lines, others...)
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	var text strings.Builder
	name := logName(o.task)
	job, _, _ := strings.Cut(o.task, ".")
	involved := map[string]bool{}
	runs := append(slices.Clone(o.active), o.second)
	for _, r := range runs {
		owner, forHost := "unknown", "unknown"
		for _, l := range lines {
			if l.at.Before(r.started) || !strings.Contains(l.text, "start answered") || !strings.Contains(l.text, name+" ") ||
				!strings.Contains(l.text, fmt.Sprintf(" run=%d ", r.number)) || !strings.Contains(l.text, " worker="+r.worker+" ") {
				continue
			}
			owner = l.host
			if found := jobHost.FindStringSubmatch(l.text); found != nil {
				forHost = found[1]
			}
			involved[owner], involved[forHost] = true, true
			break
		}
		fmt.Fprintf(&text, "  %v: owner %s, host of the job %s\n", r, owner, forHost)
	}
	var timeline strings.Builder
	fmt.Fprintf(&timeline, "%s\n", text.String())
	for _, r := range runs {
		involved[r.worker] = true
	}
	delete(involved, "unknown")
	names := slices.Collect(maps.Keys(involved))
	for _, l := range lines {
		if d := l.at.Sub(o.second.started); d < -timelineSpan || d > timelineSpan {
			continue
		}
		if strings.Contains(l.text, job) || l.host == faultsLog && containsAny(strings.ReplaceAll(l.text, ",", " "), names, "", " ") ||
			involved[l.host] && (containsAny(l.text, hostEvents, "", "") ||
				containsAny(l.text, workerEvents, "", "") && containsAny(l.text, names, "worker=", " ")) {
			fmt.Fprintf(&timeline, "%s %-10s %s\n", l.at.UTC().Format("15:04:05.000000"), l.host, l.text)
		}
	}
	path := filepath.Join(f.dir, "timeline-"+o.task+".txt")
	if err := os.WriteFile(path, []byte(timeline.String()), 0o600); err != nil {
		return "", err
	}
	return fmt.Sprintf("task %s ran twice at once:\n%s  timeline in %s", o.task, text.String(), path), nil
}
