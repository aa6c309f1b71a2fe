package worker

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/httpjson"
	"github.com/parsleyhill/parsleyhill/internal/workerapi"
)

// maxWait bounds a waiting read of results.
const maxWait = 30 * time.Second

// Handler returns the HTTP interface.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+workerapi.PathLeases, serve(w.Lease))
	mux.HandleFunc("POST "+workerapi.PathStarts, serve(w.Start))
	mux.HandleFunc("POST "+workerapi.PathStops, serve(w.Stop))
	mux.HandleFunc("GET "+workerapi.PathResults, w.serveResults)
	mux.HandleFunc("POST "+workerapi.PathTasks, serve(w.QueryTasks))
	mux.HandleFunc("GET /v1/ledger", func(rw http.ResponseWriter, _ *http.Request) {
		httpjson.Write(rw, http.StatusOK, w.Starts())
	})
	mux.HandleFunc("POST /v1/faults", func(rw http.ResponseWriter, r *http.Request) {
		var f Faults
		if httpjson.Read(rw, r, &f) {
			w.SetFaults(f)
			rw.WriteHeader(http.StatusNoContent)
		}
	})
	return mux
}

// serve turns a call into a handler with JSON bodies.
func serve[C, R any](call func(C) R) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var c C
		if httpjson.Read(rw, r, &c) {
			httpjson.Write(rw, http.StatusOK, call(c))
		}
	}
}

func (w *Worker) serveResults(rw http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(rw, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	wait := min(time.Duration(waitMs)*time.Millisecond, maxWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	httpjson.Write(rw, http.StatusOK, w.waitResults(ctx, query.Get("holder"), after))
}

func (w *Worker) waitResults(ctx context.Context, holder string, after int64) workerapi.Results {
	for {
		page, ended := w.Results(holder, after)
		if len(page.Results) > 0 {
			return page
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return page
		}
	}
}
