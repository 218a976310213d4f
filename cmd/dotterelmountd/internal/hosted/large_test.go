package hosted

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"dotterelmount.example/standin/platform"
	"gotest.tools/v3/assert"
)

// Guards against items that are accepted and never run because their body is larger than a
// page of the store: what can't run is refused.
func TestAcceptedLargeBodiesRun(t *testing.T) {
	d := newDeployment(t, 1)
	defer d.stopAll()
	d.store.MaxBodyBytes = 16 << 20
	d.routeBatches(2, "engines", false)
	n := d.daemons[0]
	const page, framing = 1 << 20, 64 // bytes; of the parts of a body that takes a whole append
	limit := n.settings.MaxAppendBytes
	submit := func(id string, size int) response {
		j := platform.Job{ID: id, Model: model, MinVersion: 1, TargetGroups: 1, Items: []platform.Item{platform.NewItem(id+"-i", batchPath+"x", model, "g")}}
		j.Items[0].Body = make([]byte, size)
		data, err := json.Marshal(j)
		assert.NilError(t, err)
		return d.call(n, http.MethodPost, batchPath+id, data, map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "5000"})
	}
	for id, size := range map[string]int{"below": page - 1, "page": page, "above": page + 1, "most": limit - framing} {
		assert.Equal(t, submit(id, size).status, http.StatusAccepted, id)
		d.checkTexts(d.results(n, id, 1))
	}
	refused := submit("more", limit+1)
	assert.Equal(t, refused.status, http.StatusRequestEntityTooLarge)
	assert.Assert(t, strings.Contains(refused.body, "2097152"), refused.body)
}
