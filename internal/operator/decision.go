package operator

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/lycheebarrow/lycheebarrow/internal/journaler"
	"github.com/lycheebarrow/lycheebarrow/internal/responder"
)

// Decisions returns the latest decision events of a request, oldest first.
type Decisions interface {
	RequestEvents(id string) []journaler.Event
}

// DecisionPage is the body of a response to GET /operator/v1/decisions.
type DecisionPage struct {
	Process string            `json:"process"`
	Events  []journaler.Event `json:"events"`
}

func (a *API) decisions(c *gin.Context) {
	id := c.Query("request")
	if id == "" {
		writeProblem(c, &responder.Problem{
			Status: http.StatusBadRequest, Code: "no-request", Message: "the request ID is missing",
			Outcome: responder.NotRun, Remedy: "add ?request=ID with the value of the Lb-Request header of the response",
		})
		return
	}
	page := DecisionPage{Process: a.Self().GetName(), Events: []journaler.Event{}}
	if a.Decisions != nil {
		page.Events = append(page.Events, a.Decisions.RequestEvents(id)...)
	}
	c.JSON(http.StatusOK, page)
}
