"""Request path: headers, admission, routing, claims, retries and hedging."""
