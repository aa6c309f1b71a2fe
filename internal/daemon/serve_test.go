package daemon

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/daemon/operator"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// TestOperatorPathsAreRefusedOnCallersPort checks every path that the operators'
// port serves, with GET and POST.
func TestOperatorPathsAreRefusedOnCallersPort(t *testing.T) {
	mux := http.NewServeMux()
	refuseOperatorPaths(mux)
	paths := []string{
		operator.PathPlans, operator.PathPlans + "/plan-1", operator.PathConfirms, operator.PathExplain + "/request-1",
		operator.PathStatus, operator.PathFleet, operator.PathHosts, operator.PathMetrics,
	}
	for _, path := range paths {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			w := httptest.NewRecorder()
			mux.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), method, path, nil))
			var doc errkind.Document
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &doc), "%s %s", method, path)
			require.Equal(t, errkind.WrongPort, doc.Kind, "%s %s", method, path)
			require.Equal(t, errkind.NotRun, doc.Run)
		}
	}
}
