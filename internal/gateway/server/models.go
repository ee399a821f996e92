package server

import (
	"encoding/json"
	"net/http"

	"marjorammoor/internal/gateway/authenticator"
	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/objects/parser"
)

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (s *Server) listModels(w http.ResponseWriter, r *http.Request) {
	if s.Ready != nil && !s.Ready() {
		responder.Error(w, s.refusal(http.StatusServiceUnavailable, responder.ReasonNotReady, notReadyMessage))
		return
	}
	if _, ok := authenticator.Team(r, s.Board.TeamByCredential); !ok {
		responder.Error(w, s.refusal(http.StatusUnauthorized, responder.ReasonUnknownCredential, "the credential belongs to no team"))
		return
	}
	list := modelList{Object: "list", Data: []modelInfo{}}
	for name, d := range s.Board.Deployments() {
		if d.Type == parser.TypeModel {
			list.Data = append(list.Data, modelInfo{ID: name, Object: "model"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
