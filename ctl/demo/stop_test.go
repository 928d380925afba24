package demo_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/ctl/demo"
)

// A planned stop closes keep-alive connections while callers send calls that must not run twice; a call
// that ran must get its answer, and a call whose connection is closed must not have run.
func TestPlannedStopInterruptsNoCallThatRan(t *testing.T) {
	const callers = 8
	d, err := demo.Start(context.Background(), demo.Sofia().WithNodes(4), &log.Logger{Handler: discard.New(), Level: log.FatalLevel})
	require.NoError(t, err)
	defer d.Close()
	node := d.Info().Nodes[0]
	var mu sync.Mutex
	interrupted := map[string]bool{}
	answered := 0
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
			defer client.CloseIdleConnections()
			for n := 0; ; n++ {
				body := fmt.Sprintf("lock-%d-%d", i, n)
				status, err := callLock(client, node.URL, d.Info().Customers[0].Key, body)
				mu.Lock()
				if err != nil {
					interrupted[body] = true
				} else if status == http.StatusOK {
					answered++
				}
				mu.Unlock()
				if err != nil || status != http.StatusOK {
					return // the node is draining, or has ended
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond) // until calls are in flight
	require.NoError(t, d.Drain(node.Name))
	wg.Wait()
	assert.Positive(t, answered)
	for _, a := range d.Info().Applications {
		for _, body := range executedBodies(t, a.URL) {
			assert.False(t, interrupted[body], "%s ran, and its caller got no answer", body)
		}
	}
}

func callLock(client *http.Client, url, key, body string) (int, error) {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/services/locks/term", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// executedBodies returns the bodies of the calls that an application recorded as started.
func executedBodies(t *testing.T, url string) []string {
	t.Helper()
	resp, err := http.Get(url + "/ran")
	require.NoError(t, err)
	defer resp.Body.Close()
	var runs []executedCall
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&runs))
	return lo.Map(runs, func(r executedCall, _ int) string { return r.Body })
}

type executedCall struct {
	Body string `json:"body"`
}
