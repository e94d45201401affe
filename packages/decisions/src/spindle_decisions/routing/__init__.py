"""Routing of requests: plans, upstream selection, scatter-gather, hedges and retries."""
