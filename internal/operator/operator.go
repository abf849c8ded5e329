package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/gin-gonic/gin"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/lycheebarrow/lycheebarrow/internal/authenticator"
	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/placementtracker"
	"github.com/lycheebarrow/lycheebarrow/internal/responder"
	"github.com/lycheebarrow/lycheebarrow/internal/validator"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// _maxPatchBytes is the largest size of a patch request's body, in bytes.
const _maxPatchBytes = 512 << 10

// _marshaler encodes messages with the field names of the proto files, and includes
// unset fields.
var _marshaler = protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}

// Configuration reads and patches the configuration.
type Configuration interface {
	Current() configurer.Snapshot
	Patch(ctx context.Context, p configurer.Patch) (*wire.ConfigurationChange, error)
	History(ctx context.Context, after uint64) ([]*wire.ConfigurationChange, error)
}

// Placements returns the known placements and instances. Poll reads the platform's
// list of instances at once.
type Placements interface {
	View() placementtracker.View
	Poll(ctx context.Context) error
}

// API serves the operators' HTTP API. Set the fields before the call of Handler, and
// don't change them afterwards.
type API struct {
	Configuration Configuration
	Placements    Placements
	Evidence      Evidence
	// Decisions may be nil; no request has decision events then.
	Decisions Decisions
	// Self returns the record of this process.
	Self func() *wire.ProcessRecord
	// Processes returns the latest known records of all processes, including this one.
	Processes func(ctx context.Context) []*wire.ProcessRecord
	// Tokens holds the names of operators by the hex SHA-256 digest of their tokens.
	Tokens map[string]string
	Log    logger.Logger
}

// Handler returns the HTTP handler of the API.
func (a *API) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.Use(gin.CustomRecoveryWithWriter(nil, func(c *gin.Context, _ any) { c.AbortWithStatus(http.StatusInternalServerError) }))
	g := e.Group("/operator/v1", a.authenticate)
	g.GET("/configuration", a.configuration)
	g.GET("/configuration/changes", a.changes)
	g.POST("/configuration", a.patch)
	g.GET("/placements", a.placements)
	g.GET("/instances", a.instances)
	g.GET("/decisions", a.decisions)
	g.GET("/processes", a.processes)
	g.GET("/process", func(c *gin.Context) { writeMessage(c, a.Self()) })
	return e
}

func (a *API) authenticate(c *gin.Context) {
	name, ok := a.Tokens[authenticator.BearerDigest(c.Request)]
	if !ok {
		writeProblem(c, &responder.Problem{
			Status: http.StatusUnauthorized, Code: "bad-token", Message: "the operator token is missing or unknown",
			Outcome: responder.NotRun, Remedy: "send Authorization: Bearer TOKEN with a token whose digest is in operator-tokens",
		})
		return
	}
	c.Set("operator", name)
}

func (a *API) configuration(c *gin.Context) {
	r := a.Configuration.Current().Record()
	if r == nil {
		r = &wire.ConfigurationRecord{Document: "{}"}
	}
	writeMessage(c, r)
}

// changes writes a page of the configuration's history.
func (a *API) changes(c *gin.Context) {
	after, err := strconv.ParseUint(c.DefaultQuery("after", "0"), 10, 64)
	if err != nil {
		p := badRequest("after must be a configuration number")
		p.Remedy = "send ?after=N, the number after which the page begins"
		writeProblem(c, p)
		return
	}
	changes, err := a.Configuration.History(c.Request.Context(), after)
	if err != nil {
		writeProblem(c, &responder.Problem{
			Status: http.StatusServiceUnavailable, Code: "archive-away", Message: err.Error(), Outcome: responder.NotRun,
			Remedy: "older changes are stored in the platform; ask again once the platform answers",
		})
		return
	}
	list := make([]json.RawMessage, 0, len(changes))
	for _, x := range changes {
		if data, err := _marshaler.Marshal(x); err == nil {
			list = append(list, data)
		}
	}
	c.JSON(http.StatusOK, gin.H{"changes": list, "current": a.Configuration.Current().Number()})
}

func (a *API) placements(c *gin.Context) {
	list := make([]json.RawMessage, 0)
	for _, p := range a.Placements.View().Placements() {
		data, err := protojson.Marshal(p)
		if err == nil {
			list = append(list, data)
		}
	}
	c.JSON(http.StatusOK, gin.H{"placements": list})
}

func (a *API) processes(c *gin.Context) {
	list := make([]json.RawMessage, 0)
	for _, p := range a.Processes(c.Request.Context()) {
		data, err := _marshaler.Marshal(p)
		if err == nil {
			list = append(list, data)
		}
	}
	c.JSON(http.StatusOK, gin.H{"processes": list})
}

func (a *API) patch(c *gin.Context) {
	var p configurer.Patch
	dec := json.NewDecoder(http.MaxBytesReader(c.Writer, c.Request.Body, _maxPatchBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		writeProblem(c, badRequest("the body is not a patch: "+err.Error()))
		return
	}
	if p.ID == "" || strings.TrimSpace(p.Author) == "" || strings.TrimSpace(p.Reason) == "" || len(p.Merge) == 0 {
		writeProblem(c, badRequest("patch_id, author, reason and patch must be given"))
		return
	}
	change, err := a.Configuration.Patch(c.Request.Context(), p)
	if err != nil {
		a.writePatchError(c, err)
		return
	}
	a.Log.Event("patch", logger.Fields{
		"number": change.GetNumber(), "author": change.GetAuthor(), "reason": change.GetReason(), "operator": c.GetString("operator"),
	})
	writeMessage(c, change)
}

func (a *API) writePatchError(c *gin.Context, err error) {
	var faults validator.Faults
	var conflict *configurer.ConflictError
	switch {
	case errors.As(err, &faults):
		c.JSON(http.StatusUnprocessableEntity, gin.H{"error": gin.H{"code": "bad-configuration", "message": "nothing was changed", "outcome": "not-run"}, "faults": faults})
	case errors.As(err, &conflict):
		c.JSON(http.StatusConflict, conflictBody(conflict))
	case errors.Is(err, configurer.ErrTooLarge):
		writeProblem(c, &responder.Problem{
			Status: http.StatusUnprocessableEntity, Code: "too-large", Message: err.Error(), Outcome: responder.NotRun,
			Remedy: "split the patch, or remove what is no longer used",
		})
	default:
		writeProblem(c, &responder.Problem{
			Status: http.StatusServiceUnavailable, Code: "patch-unsure", Message: err.Error(), Outcome: responder.Unknown,
			Remedy: "send the same patch again with the same patch_id; it is applied once at most",
		})
	}
}

// conflictBody returns the body of the response to a patch that came too late, or that
// was made for a number that does not exist.
func conflictBody(e *configurer.ConflictError) gin.H {
	remedy := "send the patch again with base set to the current number"
	body := gin.H{"current": e.Current}
	if e.Winner != nil {
		remedy = "review the change that won, then " + remedy
		winner, _ := protojson.Marshal(e.Winner) // the change was decoded from JSON or a valid message
		body["winner"] = json.RawMessage(winner)
	}
	body["error"] = gin.H{"code": "overtaken", "message": e.Error(), "outcome": "not-run", "mend": remedy}
	return body
}

// badRequest returns the problem of a malformed request. Its code is bad-patch, also
// for requests other than patches.
func badRequest(message string) *responder.Problem {
	return &responder.Problem{
		Status: http.StatusBadRequest, Code: "bad-patch", Message: message, Outcome: responder.NotRun,
		Remedy: "send {patch_id, base, author, reason, patch}",
	}
}

func writeProblem(c *gin.Context, p *responder.Problem) {
	p.Write(c.Writer)
	c.Abort()
}

func writeMessage(c *gin.Context, m proto.Message) {
	data, err := _marshaler.Marshal(m)
	if err != nil {
		c.AbortWithStatus(http.StatusInternalServerError)
		return
	}
	c.Data(http.StatusOK, "application/json", data)
}
