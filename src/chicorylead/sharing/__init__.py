"""Fair sharing of upstream capacity between organisations and routers."""
