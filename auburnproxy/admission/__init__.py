"""Who may call, and which call is dispatched next."""
