"""Routed calls: any HTTP request, sent to the backend server that its route names."""
