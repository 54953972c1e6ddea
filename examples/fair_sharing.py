"""Split slots between organisations by demand and share."""

from chicorylead.sharing.split import allowance, water_level

demands = {"frasear": (30.0, 4.0), "kask": (30.0, 1.0), "guides": (2.0, 1.0)}
level = water_level(demands.values(), n_slots=40)
for name, (demand, share) in demands.items():
    slots = allowance(demand, demand, share, level)
    print(f"{name:8} wants {demand:4.0f} and gets {slots:5.1f} slots")
