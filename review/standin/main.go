// Command standin plays the cases of this review: it starts the project's program as separate processes,
// with stand-ins of the platform's store, of engines and of clients beside them, on loopback addresses.
//
//	standin CASE PROGRAM RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves
// the disruption out.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"sync"
	"syscall"
	"time"
)

// record is what a case writes down.
type record struct {
	mu    sync.Mutex
	began time.Time
	lines []string
}

func (r *record) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, values...)
	r.lines = append(r.lines, line)
	fmt.Println(line)
}

// write writes the notes, what clients sent and got, and what engines ran.
func (r *record) write(path string, sent []call, ran []run) {
	f, err := os.Create(path)
	check(err)
	defer f.Close()
	w := bufio.NewWriter(f)
	defer w.Flush()
	for _, line := range r.lines {
		fmt.Fprintln(w, line)
	}
	at := func(t time.Time) float64 { return t.Sub(r.began).Seconds() }
	sort.Slice(sent, func(i, j int) bool { return sent[i].sent.Before(sent[j].sent) })
	fmt.Fprintln(w, "\nsent and answered: sent at, ended at, attempt, node, tenant, path, status (0: none), events received, tokens received, whole, signed, failure")
	for _, c := range sent {
		fmt.Fprintf(w, "%7.3f %7.3f %s %s %s %s %d %d %d %t %t %s\n", at(c.sent), at(c.ended), c.id, c.node, c.tenant, c.path, c.status, c.events, c.received(), c.whole, c.sealed, c.failure)
	}
	sort.Slice(ran, func(i, j int) bool { return ran[i].at.Before(ran[j].at) })
	fmt.Fprintln(w, "\nreached engines: at, attempt, engine, run (false: turned away), tenant")
	for _, one := range ran {
		fmt.Fprintf(w, "%7.3f %s %s %t %s\n", at(one.at), one.id, one.engine, one.executed, one.tenant)
	}
}

type play struct {
	program string
	trouble bool
	record  *record
	path    string
}

var cases = map[string]func(p play) (broken bool){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "want: standin CASE PROGRAM RECORD")
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		cleanUp()
		os.Exit(2)
	}()
	time.AfterFunc(115*time.Second, func() {
		fmt.Fprintln(os.Stderr, "standin: took too long")
		cleanUp()
		os.Exit(2)
	})
	p := play{program: os.Args[2], path: os.Args[3], trouble: os.Getenv("TROUBLE") != "0", record: &record{began: time.Now()}}
	broken := cases[os.Args[1]](p)
	cleanUp()
	if broken {
		os.Exit(1)
	}
}
